#include "pimentosail/entry/peermessages.h"

#include <algorithm>
#include <map>

#include "pimentosail/base/json.h"
#include "pimentosail/entry/binarymessage.h"
#include "pimentosail/kv/etcdclient.h"

namespace pimentosail
{

namespace
{

// Other programs may write arbitrary bytes to the key-value store, but JSON strings contain only text. Values for which
// this returns false are sent in base64.
bool isPlainText(const std::string &value)
{
    return std::all_of(value.begin(), value.end(), [](char character) { return character >= ' ' && character <= '~'; });
}

MirrorChanges readStoreChanges(const Json::Value &value)
{
    MirrorChanges changes;
    changes.revision = jsonInteger(value, "revision");
    // A host of an earlier version sends none.
    changes.era = jsonInteger(value, "era");
    changes.isSnapshot = jsonBoolean(value, "snapshot");
    changes.isReachable = jsonBoolean(value, "reachable");
    changes.answerAge = Milliseconds(jsonInteger(value, "answer_age_ms"));
    changes.completeAge = Milliseconds(jsonInteger(value, "complete_age_ms", -1));
    const int64_t recoveryAge = jsonInteger(value, "back_age_ms");
    changes.recoveryAge = recoveryAge < 0 ? Duration(-1) : Milliseconds(recoveryAge);
    for (const Json::Value &entry : value["changes"]) {
        const std::string encoded = jsonString(entry, "value_base64");
        const std::string stored = encoded.empty() ? jsonString(entry, "value") : decodeBase64(encoded);
        changes.changes.push_back({{jsonString(entry, "key"), stored, jsonInteger(entry, "revision")}, jsonBoolean(entry, "removed")});
    }
    return changes;
}

CacheChanges decodeCacheRows(const Json::Value &value)
{
    CacheChanges changes;
    changes.journal = jsonString(value, "journal");
    changes.next = jsonInteger(value, "next");
    changes.isSnapshot = jsonBoolean(value, "snapshot");
    changes.statusPosition = jsonInteger(value, "status", -1);
    for (const Json::Value &row : value["stores"]) {
        changes.stores.push_back({row[0].asString(), row[1].asInt64(), row[2].asBool()});
    }
    for (const Json::Value &row : value["changes"]) {
        const int64_t tokens = row[4].asInt64();
        changes.changes.push_back(
            {changes.stores.at(row[0].asUInt()).store, row[1].asInt64(), {row[2].asString(), row[3].asString(), std::max<int64_t>(0, tokens), tokens < 0}});
    }
    return changes;
}

// Version of the binary form of cache changes.
constexpr uint8_t CacheChangesFormat = 1;
// Confirmations of the cache stores' epochs, followed by the changes.
constexpr uint8_t ConfirmedCacheChangesFormat = 2;
constexpr uint64_t MaxCacheStores = 10000;
constexpr uint64_t MaxCacheChanges = 4000000;

// Runs `reader` and reports every exception as a failure of the peer, because another version of this program may send a
// different format.
template <typename Reader, typename Answer>
auto readAnswer(Reader reader, const Answer &answer) -> decltype(reader(answer))
{
    try {
        return reader(answer);
    } catch (const std::exception &exception) {
        throw Failure(ErrorKind::PeerLost, std::string("unreadable answer of another host: ") + exception.what());
    }
}

} // namespace

Json::Value encodeStoreChanges(const MirrorChanges &changes)
{
    Json::Value value;
    value["revision"] = Json::Int64(changes.revision);
    value["era"] = Json::Int64(changes.era);
    value["snapshot"] = changes.isSnapshot;
    value["reachable"] = changes.isReachable;
    value["answer_age_ms"] = Json::Int64(toMilliseconds(changes.answerAge));
    value["complete_age_ms"] = Json::Int64(changes.completeAge < Duration(0) ? -1 : toMilliseconds(changes.completeAge) + 1);
    value["back_age_ms"] = Json::Int64(changes.recoveryAge < Duration(0) ? -1 : toMilliseconds(changes.recoveryAge));
    value["changes"] = Json::Value(Json::arrayValue);
    for (const StoreChange &change : changes.changes) {
        Json::Value entry;
        entry["key"] = change.item.key;
        if (isPlainText(change.item.value)) {
            entry["value"] = change.item.value;
        } else {
            entry["value_base64"] = encodeBase64(change.item.value);
        }
        entry["revision"] = Json::Int64(change.item.revision);
        entry["removed"] = change.isRemoval;
        value["changes"].append(entry);
    }
    return value;
}

Json::Value encodeCacheChanges(const CacheChanges &changes)
{
    Json::Value value;
    value["journal"] = changes.journal;
    value["next"] = Json::Int64(changes.next);
    value["snapshot"] = changes.isSnapshot;
    value["status"] = Json::Int64(changes.statusPosition);
    value["stores"] = Json::Value(Json::arrayValue);
    std::map<std::string, int> storeIndexes;
    for (const CacheStoreStatus &status : changes.stores) {
        Json::Value row(Json::arrayValue);
        row.append(status.store);
        row.append(Json::Int64(status.epoch));
        row.append(status.isReachable);
        storeIndexes.emplace(status.store, static_cast<int>(value["stores"].size()));
        value["stores"].append(row);
    }
    // Each change is a row without field names and refers to its store by index, because there may be hundreds of changes
    // per second.
    value["changes"] = Json::Value(Json::arrayValue);
    for (const CacheChange &change : changes.changes) {
        const auto storeIndex = storeIndexes.find(change.store);
        if (storeIndex == storeIndexes.end()) {
            continue;
        }
        Json::Value row(Json::arrayValue);
        row.append(storeIndex->second);
        row.append(Json::Int64(change.epoch));
        row.append(change.event.salt);
        row.append(change.event.block);
        row.append(change.event.isRemoval ? Json::Int64(-1) : Json::Int64(change.event.tokens));
        value["changes"].append(row);
    }
    return value;
}

MirrorChanges decodeStoreChanges(const Json::Value &value)
{
    return readAnswer(readStoreChanges, value);
}

CacheChanges decodeCacheChanges(const Json::Value &value)
{
    return readAnswer(decodeCacheRows, value);
}

std::string writeCacheChanges(const CacheChanges &changes)
{
    MessageWriter writer;
    writer.byte(CacheChangesFormat);
    writer.name(changes.journal);
    writer.number(toUnsigned(changes.next));
    writer.number(toUnsigned(changes.statusPosition));
    writer.byte(changes.isSnapshot ? 1 : 0);
    writer.number(changes.stores.size());
    std::map<std::string, uint64_t> storeIndexes;
    for (const CacheStoreStatus &status : changes.stores) {
        storeIndexes.emplace(status.store, storeIndexes.size());
        writer.name(status.store);
        writer.number(toUnsigned(status.epoch));
        writer.byte(status.isReachable ? 1 : 0);
    }
    const auto isListed = [&storeIndexes](const CacheChange &change) {
        return storeIndexes.contains(change.store);
    };
    writer.number(static_cast<uint64_t>(std::count_if(changes.changes.begin(), changes.changes.end(), isListed)));
    for (const CacheChange &change : changes.changes) {
        if (isListed(change)) {
            writer.number(storeIndexes.at(change.store));
            writer.number(toUnsigned(change.epoch));
            writer.name(change.event.salt);
            writer.name(change.event.block);
            // 0 stands for a removal.
            writer.number(change.event.isRemoval ? 0 : toUnsigned(change.event.tokens) + 1);
        }
    }
    return writer.take();
}

std::string writeCacheConfirmations(const std::vector<CacheStoreConfirmation> &confirmations)
{
    MessageWriter writer;
    writer.byte(ConfirmedCacheChangesFormat);
    writer.number(confirmations.size());
    for (const CacheStoreConfirmation &confirmation : confirmations) {
        writer.name(confirmation.store);
        writer.number(toUnsigned(confirmation.epoch));
        // Rounded up, so that the receiver does not take the confirmation for a later one.
        writer.number(toUnsigned(toMilliseconds(confirmation.age) + 1));
    }
    return writer.take();
}

CacheChanges readCacheChanges(std::string_view bytes)
{
    const auto read = [](std::string_view text) {
        MessageReader reader(text);
        CacheChanges changes;
        uint8_t format = reader.byte();
        if (format == ConfirmedCacheChangesFormat) {
            for (uint64_t rows = reader.rows(MaxCacheStores); rows > 0; --rows) {
                CacheStoreConfirmation &confirmation = changes.confirmations.emplace_back();
                confirmation.store = reader.name();
                confirmation.epoch = reader.signedNumber();
                confirmation.age = reader.age();
            }
            format = reader.byte();
        }
        if (format != CacheChangesFormat) {
            throw Failure(ErrorKind::BadRequest, "unknown format of cache changes");
        }
        changes.journal = reader.name();
        changes.next = reader.signedNumber();
        changes.statusPosition = reader.signedNumber();
        changes.isSnapshot = reader.byte() != 0;
        for (uint64_t rows = reader.rows(MaxCacheStores); rows > 0; --rows) {
            CacheStoreStatus &status = changes.stores.emplace_back();
            status.store = reader.name();
            status.epoch = reader.signedNumber();
            status.isReachable = reader.byte() != 0;
        }
        for (uint64_t rows = reader.rows(MaxCacheChanges); rows > 0; --rows) {
            CacheChange &change = changes.changes.emplace_back();
            change.store = changes.stores.at(reader.number()).store;
            change.epoch = reader.signedNumber();
            change.event.salt = reader.name();
            change.event.block = reader.name();
            const int64_t tokens = reader.signedNumber();
            change.event.isRemoval = tokens == 0;
            change.event.tokens = std::max<int64_t>(0, tokens - 1);
        }
        reader.checkEnd();
        return changes;
    };
    return readAnswer(read, bytes);
}

} // namespace pimentosail
