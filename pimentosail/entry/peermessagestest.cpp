#include <criterion/criterion.h>

#include "pimentosail/base/error.h"
#include "pimentosail/base/json.h"
#include "pimentosail/entry/peermessages.h"

using namespace pimentosail;

Test(peermessages, changes_of_the_key_value_store_are_decoded_as_they_were_encoded)
{
    MirrorChanges sent;
    sent.revision = 42;
    sent.era = 3;
    sent.isSnapshot = true;
    sent.isReachable = true;
    sent.answerAge = Milliseconds(30);
    sent.completeAge = Milliseconds(40);
    sent.changes = {{{"a", "1", 40}, false}, {{"b", "", 41}, true}, {{"foreign", "\xff\xfe\x01", 42}, false}};
    const MirrorChanges decoded = decodeStoreChanges(parseJson(printJson(encodeStoreChanges(sent))));
    cr_assert(decoded.position() == (StorePosition{3, 42}));
    cr_assert(decoded.isSnapshot && decoded.isReachable);
    cr_assert_eq(decoded.answerAge, Duration(Milliseconds(30)));
    cr_assert(decoded.completeAge >= sent.completeAge && decoded.completeAge <= sent.completeAge + Milliseconds(1));
    cr_assert(decoded.recoveryAge < Duration(0), "there was no outage");
    cr_assert_eq(decoded.changes.size(), 3, "a foreign value must not stop the others");
    cr_assert_eq(decoded.changes[0].item.value, "1");
    cr_assert_eq(decoded.changes[2].item.value, "\xff\xfe\x01");
    cr_assert(decoded.changes[1].isRemoval);
}

Test(peermessages, changes_of_cache_stores_are_decoded_as_they_were_encoded)
{
    CacheChanges sent;
    sent.journal = "j";
    sent.next = 7;
    sent.stores = {{"jar", 5, true}, {"urn", 6, false}};
    sent.changes = {{"urn", 6, {"m/1", "p", 800, false}}, {"jar", 5, {"m/1", "q", 0, true}}};
    const CacheChanges decoded = decodeCacheChanges(parseJson(printJson(encodeCacheChanges(sent))));
    cr_assert_eq(decoded.journal, "j");
    cr_assert_eq(decoded.next, 7);
    cr_assert_not(decoded.stores[1].isReachable);
    cr_assert_eq(decoded.changes[0].store, "urn");
    cr_assert_eq(decoded.changes[0].event.tokens, 800);
    cr_assert(decoded.changes[1].event.isRemoval);
}

// Guards against a copied list that is cut or damaged, and against blocks that get lost in the binary form.
Test(peermessages, the_binary_form_of_cache_changes_is_complete_or_refused)
{
    CacheChanges sent;
    sent.journal = "j";
    sent.next = 7;
    sent.statusPosition = 3;
    sent.isSnapshot = true;
    sent.stores = {{"jar", 5, true}, {"urn", 600, false}};
    sent.changes
        = {{"urn", 600, {"m/1", "p", 800, false}}, {"jar", 5, {"m/1", "q", 0, true}}, {"jar", 5, {"m/1", "r", 0, false}}, {"gone", 1, {"s", "t", 1, false}}};
    const std::string bytes = writeCacheChanges(sent);
    const CacheChanges decoded = readCacheChanges(bytes);
    cr_assert(decoded.isSnapshot);
    cr_assert_eq(decoded.statusPosition, 3);
    cr_assert_eq(decoded.stores[1].epoch, 600);
    cr_assert_not(decoded.stores[1].isReachable);
    cr_assert_eq(decoded.changes.size(), 3, "a change of a store that is not listed is left out");
    cr_assert_eq(decoded.changes[0].store, "urn");
    cr_assert_eq(decoded.changes[0].event.tokens, 800);
    cr_assert(decoded.changes[1].event.isRemoval);
    cr_assert(!decoded.changes[2].event.isRemoval && decoded.changes[2].event.tokens == 0);
    for (size_t size = 0; size < bytes.size(); ++size) {
        bool isRefused = false;
        try {
            readCacheChanges(std::string_view(bytes).substr(0, size));
        } catch (const Failure &failure) {
            isRefused = failure.error.kind == ErrorKind::PeerLost;
        }
        cr_assert(isRefused, "a list cut at byte %zu", size);
    }
}

// Guards against a follower that takes contents for newer than they are: what its relay says of the age of its knowledge must arrive, and a relay that
// says nothing of it must not seem to confirm anything.
Test(peermessages, confirmations_of_cache_stores_precede_the_changes)
{
    CacheChanges sent;
    sent.journal = "j";
    sent.stores = {{"jar", 5, true}};
    sent.changes = {{"jar", 5, {"m/1", "q", 800, false}}};
    const std::string changes = writeCacheChanges(sent);
    const std::string bytes = writeCacheConfirmations({{"jar", 5, Duration(1200500)}, {"urn", 600, Duration(0)}}) + changes;
    const CacheChanges decoded = readCacheChanges(bytes);
    cr_assert_eq(decoded.confirmations.size(), 2);
    cr_assert_eq(decoded.confirmations[0].store, "jar");
    cr_assert_eq(decoded.confirmations[0].epoch, 5);
    cr_assert_eq(decoded.confirmations[0].age, Duration(Milliseconds(1201)), "an age is rounded up");
    cr_assert_eq(decoded.confirmations[1].epoch, 600);
    cr_assert_eq(decoded.changes.size(), 1);
    cr_assert_eq(readCacheChanges(changes).confirmations.size(), 0);
    for (size_t size = 0; size < bytes.size(); ++size) {
        bool isRefused = false;
        try {
            readCacheChanges(std::string_view(bytes).substr(0, size));
        } catch (const Failure &failure) {
            isRefused = failure.error.kind == ErrorKind::PeerLost;
        }
        cr_assert(isRefused, "an answer cut at byte %zu", size);
    }
}

Test(peermessages, an_invalid_answer_is_a_failure_of_the_peer)
{
    for (const char *text : {"[]", "{}", "3", R"({"revision":1,"changes":3})", R"({"journal":"j","next":1,"stores":[],"changes":[[9,1,"s","p",2]]})"}) {
        const Json::Value value = parseJson(text);
        try {
            decodeStoreChanges(value);
            decodeCacheChanges(value);
        } catch (const Failure &failure) {
            cr_assert_eq(failure.error.kind, ErrorKind::PeerLost);
        }
    }
}
