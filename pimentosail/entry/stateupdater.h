// Applies changes of the platform's key-value store to the state of this host: the configuration, targets, evacuated
// zones, wanted weight versions, hosts, the progress of the rollout and the observations of other hosts.
//
//     StateUpdater updater(context);
//     updater.update(mirror, changedKeys);
//
// A value that cannot be decoded is logged once for each revision, and the last valid value stays in force. Not
// thread-safe: the caller serializes the calls.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include <json/value.h>

#include "pimentosail/entry/context.h"
#include "pimentosail/entry/decodeditems.h"
#include "pimentosail/mirror/storemirror.h"
#include "pimentosail/rollout/announcement.h"

namespace pimentosail
{

// Keys of the entry service in the platform's key-value store.
inline const std::string EntryPrefix = "pimentosail/";
inline const std::string HostsPrefix = EntryPrefix + "hosts/";
inline const std::string ObservationsPrefix = EntryPrefix + "observations/";
inline const std::string RolloutLeaderKey = EntryPrefix + "rollout/holder";
inline const std::string RolloutStateKey = EntryPrefix + "rollout/state";
// Exists, under a lease, while a load order may have been sent recently.
inline const std::string RecentLoadOrderKey = EntryPrefix + "rollout/recent";
// Followed by MODEL/VERSION, and for the marks by /INDEX. From the marks that are left, hosts that start later know when the
// version was set (`rollout/versionage`).
inline const std::string VersionTimesPrefix = EntryPrefix + "version-times/";
inline const std::string VersionMarksPrefix = EntryPrefix + "version-marks/";

// Returns the indices of the age marks of a version that are left. `name` is MODEL/VERSION.
std::set<int64_t> ageMarksLeft(const StoreMirror &mirror, const std::string &name);

// Splits MODEL/VERSION. Throws `Failure` (BadRequest) if `name` is something else.
std::pair<std::string, int64_t> splitVersionName(const std::string &name);

// Followed by the name of a cache store: its epoch, once a host has waited for the fetches of former epochs. Hosts that start later save at once.
inline const std::string CacheEpochsPrefix = EntryPrefix + "cache-epochs/";

// Followed by the name of a service: the state of the delivery of its new version.
inline const std::string DeliveryPrefix = EntryPrefix + "delivery/";

// Encodes the findings into `value`, a host's observations, and decodes them. The decoder throws if they are invalid.
void encodeBlockFindings(const BlockFindings &findings, Json::Value &value);
BlockFindings decodeBlockFindings(const Json::Value &value);

class StateUpdater
{
public:
    explicit StateUpdater(EntryContext &entryContext)
        : context(entryContext)
        , createdAt(entryContext.clock.now())
    {
    }

    // Applies the present contents of `mirror`. `changedKeys` are the keys that have changed since the last call.
    void update(const StoreMirror &mirror, const std::set<std::string> &changedKeys);

    // Applies again what changes with time although no key has changed: a missing registration is removed, an evacuation that a restored
    // store has lost ends, and the limits are shared among fewer hosts, after some time.
    void refresh(const StoreMirror &mirror);

private:
    void updateTargets(const StoreMirror &mirror);
    void updateServing(const StoreMirror &mirror);
    void updateEvacuations(const StoreMirror &mirror);
    void updateVersions(const StoreMirror &mirror);
    void updateHosts(const StoreMirror &mirror);
    void updateObservations(const StoreMirror &mirror, const std::set<std::string> &changedKeys);
    void updateRollout(const StoreMirror &mirror);
    void applyAnnouncement(const RolloutAnnouncement &announcement);
    // Ends the avoidance of targets whose entry shows the version that they were announced to load.
    void releaseLoadedTargets(const std::vector<Registration> &registrations);
    void updateVersionTimes(const StoreMirror &mirror);
    void updateAgeMarks(const StoreMirror &mirror);
    void updateCacheEpochs(const StoreMirror &mirror);
    void updateDeliveries(const StoreMirror &mirror);
    // Logs a value that cannot be decoded, once for each write.
    void reportUnreadable(const StoredItem &item, const std::string &reason);

    EntryContext &context;
    Time createdAt;
    // Position of the last record of a version's age that was applied, by MODEL/VERSION.
    std::map<std::string, StorePosition> timedVersions;
    // Position of the last logged unreadable value, by key.
    std::map<std::string, StorePosition> reportedPositions;
    DecodedItems<Registration> decodedRegistrations;
    DecodedItems<HostEntry> decodedHosts;
    DecodedItems<StatedDelivery> decodedDeliveryOrders;
    DecodedItems<StoredDeliveryState> decodedDeliveryStates;
    // The versions that targets load by the last announcement, by target.
    std::map<std::string, int64_t> loadingVersions;
    std::set<std::string> evacuatedZones;
    // Era of the store in which `evacuatedZones` was read.
    int64_t evacuationEra = 0;
    // Zones whose evacuation a restored store has lost, and until when they stay evacuated.
    std::map<std::string, Time> lostEvacuations;
    size_t lastTargetCount = 0;
};

} // namespace pimentosail
