// What hosts tell each other in JSON-RPC calls: changes of the platform's store and of the cache stores.
//
//     Json::Value answer = encodeStoreChanges(mirror.changesAfter(revision, wait));
//     MirrorChanges changes = decodeStoreChanges(answer);   // on the other host
#pragma once

#include <json/value.h>

#include "pimentosail/kvcache/cachejournal.h"
#include "pimentosail/mirror/storemirror.h"

namespace pimentosail
{

Json::Value encodeStoreChanges(const MirrorChanges &changes);
Json::Value encodeCacheChanges(const CacheChanges &changes);

// Decode an answer of another host. Throw `Failure` (PeerLost) if it cannot be read.
MirrorChanges decodeStoreChanges(const Json::Value &value);
CacheChanges decodeCacheChanges(const Json::Value &value);

} // namespace pimentosail
