// Encoding of the answers of JSON-RPC calls between hosts: changes of the platform's key-value store and of the cache
// stores.
//
//     Json::Value answer = encodeStoreChanges(mirror.changesAfter(revision, wait));
//     MirrorChanges changes = decodeStoreChanges(answer);   // on the other host
//
// All functions are thread-safe.
#pragma once

#include <string>
#include <string_view>

#include <json/value.h>

#include "pimentosail/kvcache/cachejournal.h"
#include "pimentosail/mirror/storemirror.h"

namespace pimentosail
{

Json::Value encodeStoreChanges(const MirrorChanges &changes);
Json::Value encodeCacheChanges(const CacheChanges &changes);

// The same for the cache stores in binary form, without a tree of values: the whole contents of the cache stores of a large deployment
// take a megabyte in it and some tens of megabytes as a tree.
std::string writeCacheChanges(const CacheChanges &changes);

// Returns the confirmations in the form that precedes the changes. A host of an earlier version does not read them.
std::string writeCacheConfirmations(const std::vector<CacheStoreConfirmation> &confirmations);

// Decode an answer of another host. Throw `Failure` (PeerLost) if the answer is invalid.
MirrorChanges decodeStoreChanges(const Json::Value &value);
CacheChanges decodeCacheChanges(const Json::Value &value);
// Reads changes with or without preceding confirmations.
CacheChanges readCacheChanges(std::string_view bytes);

} // namespace pimentosail
