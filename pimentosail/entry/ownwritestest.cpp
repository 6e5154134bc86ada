#include <criterion/criterion.h>

#include "pimentosail/entry/ownwrites.h"
#include "pimentosail/kv/memoryprefixstore.h"

using namespace pimentosail;

namespace
{

struct Fixture
{
    Clock clock;
    EventLog log{this->clock, "front-1", [](const std::string &) {
                 }};
    MemoryPrefixStore memory{this->clock};
    StoreMirror mirror{this->clock, this->log, this->memory.asPrefixStore(), MirrorPeers{}, [](const std::set<std::string> &) {
                       }};
};

} // namespace

// Guards against a host that ends another's lease because the id was given out again in an era that only its mirror knows of.
Test(own_writes, a_lease_of_an_era_before_that_of_the_mirror_is_not_ended)
{
    Fixture fixture;
    std::vector<int64_t> ended;
    PrefixStore store = fixture.memory.asPrefixStore();
    store.revokeLease = [&ended](const StoreLease &lease) {
        ended.push_back(lease.id);
    };
    StoreLease present{4, 1};
    StoreLease former{5, 0};
    StoreLease none;
    fixture.mirror.merge({{}, 7, true, 1});
    endLease(fixture.log, fixture.mirror, store, present);
    endLease(fixture.log, fixture.mirror, store, former);
    endLease(fixture.log, fixture.mirror, store, none);
    cr_assert_eq(ended.size(), 1);
    cr_assert_eq(ended.front(), 4);
    cr_assert_not(present.isGranted() || former.isGranted());
}

Test(own_writes, the_item_of_a_key_is_not_that_of_a_longer_key)
{
    Fixture fixture;
    fixture.mirror.merge({{{{"hosts/front-10", "ten", 3}, false}}, 7, true, 0});
    cr_assert_not(itemAt(fixture.mirror, "hosts/front-1").has_value());
    fixture.mirror.merge({{{{"hosts/front-1", "one", 8}, false}}, 8, false, 0});
    cr_assert_eq(itemAt(fixture.mirror, "hosts/front-1")->value, "one");
}
