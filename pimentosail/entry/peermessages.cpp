#include "pimentosail/entry/peermessages.h"

#include <algorithm>
#include <map>

#include "pimentosail/base/json.h"
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

CacheChanges readCacheChanges(const Json::Value &value)
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

// Runs `reader` and reports every exception as a failure of the peer, because another version of this program may send a
// different format.
template <typename Reader>
auto readAnswer(Reader reader, const Json::Value &value) -> decltype(reader(value))
{
    try {
        return reader(value);
    } catch (const std::exception &exception) {
        throw Failure(ErrorKind::PeerLost, std::string("unreadable answer of another host: ") + exception.what());
    }
}

} // namespace

Json::Value encodeStoreChanges(const MirrorChanges &changes)
{
    Json::Value value;
    value["revision"] = Json::Int64(changes.revision);
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
    return readAnswer(readCacheChanges, value);
}

} // namespace pimentosail
