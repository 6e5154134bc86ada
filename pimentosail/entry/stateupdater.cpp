#include "pimentosail/entry/stateupdater.h"

#include <algorithm>

#include "pimentosail/base/error.h"
#include "pimentosail/base/json.h"
#include "pimentosail/entry/ownwrites.h"
#include "pimentosail/rollout/fencingtoken.h"
#include "pimentosail/rollout/versionage.h"

namespace pimentosail
{

namespace
{

// A target that executes a load order gets no requests for this long unless the end of the load is announced sooner.
constexpr Duration MaxLoadAvoidance = std::chrono::seconds(6);
// A value that is first read this soon after the start of the process may have been written at any time before it.
constexpr Duration StartupWindow = std::chrono::seconds(3);

bool anyStartsWith(const std::set<std::string> &keys, const std::string &prefix)
{
    const auto first = keys.lower_bound(prefix);
    return first != keys.end() && first->starts_with(prefix);
}

HostEntry decodeHost(const StoredItem &item)
{
    const Json::Value value = parseJson(item.value);
    return {item.key.substr(HostsPrefix.size()), jsonString(value, "address"), jsonString(value, "zone"), jsonString(value, "gossip"),
        value["cores"].isNumeric() ? value["cores"].asDouble() : 0.0, static_cast<int>(jsonInteger(value, "load_format", 1))};
}

} // namespace

std::set<int64_t> ageMarksLeft(const StoreMirror &mirror, const std::string &name)
{
    const std::string prefix = VersionMarksPrefix + name + "/";
    std::set<int64_t> left;
    for (const StoredItem &mark : mirror.items(prefix)) {
        left.insert(std::stoll(mark.key.substr(prefix.size())));
    }
    return left;
}

std::pair<std::string, int64_t> splitVersionName(const std::string &name)
{
    const size_t slash = name.rfind('/');
    try {
        return {name.substr(0, slash), std::stoll(name.substr(slash + 1))};
    } catch (const std::logic_error &) {
        throw Failure(ErrorKind::BadRequest, "not MODEL/VERSION: " + name);
    }
}

// A loss is a row without field names, because there may be hundreds of them.
void encodeBlockFindings(const BlockFindings &findings, Json::Value &value)
{
    for (const BlockLoss &loss : findings.losses) {
        Json::Value row(Json::arrayValue);
        row.append(loss.block);
        row.append(loss.incarnation);
        row.append(std::to_string(loss.request));
        value["block_losses"].append(row);
    }
    for (const std::string &block : findings.answered) {
        value["answered_blocks"].append(block);
    }
}

BlockFindings decodeBlockFindings(const Json::Value &value)
{
    BlockFindings findings;
    for (const Json::Value &row : value["block_losses"]) {
        findings.losses.push_back({row[0].asString(), row[1].asString(), std::stoull(row[2].asString())});
    }
    for (const Json::Value &block : value["answered_blocks"]) {
        findings.answered.push_back(block.asString());
    }
    return findings;
}

void StateUpdater::reportUnreadable(const StoredItem &item, const std::string &reason)
{
    StorePosition &reported = this->reportedPositions[item.key];
    if (reported != item.position()) {
        reported = item.position();
        this->context.metrics.count("pimentosail_unreadable_values_total", {});
        this->context.log.write(LogLevel::Error, "value_unreadable", {{"key", item.key}, {"era", item.era}, {"revision", item.revision}, {"reason", reason}});
    }
}

void StateUpdater::update(const StoreMirror &mirror, const std::set<std::string> &changedKeys)
{
    const KeyValueLayout &layout = this->context.wire.layout;
    // Before the configuration, with which requests are admitted.
    if (anyStartsWith(changedKeys, ObservationsPrefix)) {
        this->updateObservations(mirror, changedKeys);
    }
    if (changedKeys.contains(layout.servingKey)) {
        this->updateServing(mirror);
    }
    if (anyStartsWith(changedKeys, layout.evacuationPrefix) || mirror.status().era != this->evacuationEra) {
        this->updateEvacuations(mirror);
    }
    if (anyStartsWith(changedKeys, layout.versionPrefix)) {
        this->updateVersions(mirror);
    }
    if (anyStartsWith(changedKeys, layout.targetPrefix)) {
        this->updateTargets(mirror);
    }
    if (anyStartsWith(changedKeys, HostsPrefix)) {
        this->updateHosts(mirror);
    }
    if (anyStartsWith(changedKeys, VersionMarksPrefix)) {
        this->updateAgeMarks(mirror);
    }
    if (anyStartsWith(changedKeys, VersionTimesPrefix)) {
        this->updateVersionTimes(mirror);
    }
    if (anyStartsWith(changedKeys, CacheEpochsPrefix)) {
        this->updateCacheEpochs(mirror);
    }
    if (anyStartsWith(changedKeys, layout.deliveryOrderPrefix) || anyStartsWith(changedKeys, DeliveryPrefix)) {
        this->updateDeliveries(mirror);
    }
    if (changedKeys.contains(RolloutStateKey)) {
        this->updateRollout(mirror);
    }
}

void StateUpdater::updateServing(const StoreMirror &mirror)
{
    for (const StoredItem &item : mirror.items(this->context.wire.layout.servingKey)) {
        if (item.key != this->context.wire.layout.servingKey) {
            continue;
        }
        Result<ServingConfigurationPointer> serving = this->context.wire.layout.decodeServing(item.value);
        if (!serving) {
            this->reportUnreadable(item, serving.error().message);
            continue;
        }
        const DecodedConfiguration &decoded = (*serving)->all();
        if (!this->context.state.updateServing(*serving, this->context.clock.now())) {
            continue;
        }
        std::map<std::string, Duration> coldDurations;
        for (const ServiceSettings &service : decoded.services) {
            coldDurations[service.name] = service.coldDuration;
        }
        this->context.directory.setColdDurations(std::move(coldDurations));
        this->context.cacheStores.setStores(decoded.stores, longestPromptTimeout(decoded));
        this->context.metrics.set("pimentosail_configuration_version", {}, static_cast<double>(decoded.version));
        this->context.log.write(LogLevel::Info, "configuration_in_force",
            {{"version", decoded.version}, {"revision", item.revision}, {"routes", decoded.routes.size()}, {"services", decoded.services.size()},
                {"stores", decoded.stores.size()}, {"teams", decoded.teams.size()}, {"keys", decoded.keys.size()}});
    }
}

void StateUpdater::refresh(const StoreMirror &mirror)
{
    this->updateTargets(mirror);
    this->updateEvacuations(mirror);
    if (this->context.deliveries.isActive()) {
        this->updateDeliveries(mirror);
    }
    this->context.state.updateSharingHosts(this->context.clock.now());
}

void StateUpdater::updateTargets(const StoreMirror &mirror)
{
    const std::string &prefix = this->context.wire.layout.targetPrefix;
    const MirrorItems listed = mirror.itemsOfEra(prefix);
    const std::vector<Registration> registrations
        = this->decodedRegistrations.update(listed.items, [this, &prefix](const StoredItem &item) -> std::optional<Registration> {
              Result<Registration> registration = this->context.wire.layout.decodeRegistration(item.key.substr(prefix.size()), item);
              if (!registration) {
                  this->reportUnreadable(item, registration.error().message);
                  return std::nullopt;
              }
              return std::move(*registration);
          });
    const MirrorStatus status = mirror.status();
    this->context.directory.apply(registrations, status.isReachable, status.recoveredAt, listed.era);
    this->releaseLoadedTargets(registrations);
    const size_t size = this->context.directory.size();
    if (size != this->lastTargetCount) {
        this->context.log.write(LogLevel::Info, "targets_changed",
            {{"targets", size}, {"before", this->lastTargetCount}, {"registered", registrations.size()}, {"store_reachable", status.isReachable},
                {"revision", status.revision}});
        this->lastTargetCount = size;
    }
}

void StateUpdater::updateEvacuations(const StoreMirror &mirror)
{
    const std::string &prefix = this->context.wire.layout.evacuationPrefix;
    const MirrorItems listed = mirror.itemsOfEra(prefix);
    std::set<std::string> zones;
    for (const StoredItem &item : listed.items) {
        zones.insert(item.key.substr(prefix.size()));
    }
    const Time now = this->context.clock.now();
    if (listed.era != this->evacuationEra) {
        // The store may have come back from a copy that is older than an evacuation. Operators write it again.
        for (const std::string &zone : this->evacuatedZones) {
            this->lostEvacuations[zone] = now + RewriteTime;
        }
        this->evacuationEra = listed.era;
    }
    std::erase_if(this->lostEvacuations, [now, &zones](const auto &lost) { return zones.contains(lost.first) || now >= lost.second; });
    for (const auto &[zone, until] : this->lostEvacuations) {
        zones.insert(zone);
    }
    if (zones == this->evacuatedZones) {
        return;
    }
    std::string names;
    for (const std::string &zone : zones) {
        names += (names.empty() ? "" : ",") + zone;
    }
    this->evacuatedZones = zones;
    this->context.directory.setEvacuated(std::move(zones));
    this->context.log.write(LogLevel::Info, "zones_evacuated", {{"zones", names}, {"revision", mirror.status().revision}});
}

void StateUpdater::updateVersions(const StoreMirror &mirror)
{
    const std::string &prefix = this->context.wire.layout.versionPrefix;
    for (const StoredItem &item : mirror.items(prefix)) {
        const Result<int64_t> version = this->context.wire.layout.decodeVersion(item.value);
        if (!version) {
            this->reportUnreadable(item, version.error().message);
            continue;
        }
        const std::string model = item.key.substr(prefix.size());
        // The contents were complete without this version at `completeBefore`.
        const Time completeBefore = mirror.status().completeBefore;
        const Time now = this->context.clock.nowWithSuspend();
        const TimeBounds setTime{completeBefore == Time(0) ? UnknownPast : completeBefore, now};
        if (this->context.state.addWantedVersion(model, *version, setTime)) {
            this->context.log.write(LogLevel::Info, "version_wanted",
                {{"model", model}, {"version", *version}, {"age_ms", completeBefore == Time(0) ? -1 : toMilliseconds(now - completeBefore)},
                    {"revision", item.revision}});
        }
    }
}

void StateUpdater::updateHosts(const StoreMirror &mirror)
{
    std::vector<HostEntry> hosts = this->decodedHosts.update(mirror.items(HostsPrefix), [this](const StoredItem &item) -> std::optional<HostEntry> {
        try {
            return decodeHost(item);
        } catch (const std::exception &exception) {
            this->reportUnreadable(item, exception.what());
            return std::nullopt;
        }
    });
    RelayPlan plan = RelayPlan::make(hosts, this->context.settings.name, this->context.settings.zone);
    this->context.log.write(LogLevel::Info, "hosts_changed",
        {{"hosts", hosts.size()}, {"relays", plan.relays.size()}, {"reads_itself", plan.readsFromSource},
            {"relay", plan.relaysByPreference.empty() ? std::string() : plan.relaysByPreference.front().name}});
    this->context.state.setRelayPlan(std::move(plan));
    this->context.state.setHosts(std::move(hosts), this->context.clock.now());
}

void StateUpdater::updateObservations(const StoreMirror &mirror, const std::set<std::string> &changedKeys)
{
    std::map<std::string, BlockFindings> findings;
    std::set<std::string> removedKeys(changedKeys.lower_bound(ObservationsPrefix), changedKeys.end());
    for (const StoredItem &item : mirror.items(ObservationsPrefix)) {
        removedKeys.erase(item.key);
        if (!changedKeys.contains(item.key)) {
            continue;
        }
        try {
            std::vector<std::pair<uint64_t, std::string>> losses;
            const Json::Value value = parseJson(item.value);
            for (const Json::Value &loss : value["losses"]) {
                losses.emplace_back(std::stoull(jsonString(loss, "request", "0")), jsonString(loss, "target"));
            }
            std::vector<uint64_t> sound;
            for (const Json::Value &fingerprint : value["sound_requests"]) {
                sound.push_back(std::stoull(fingerprint.asString()));
            }
            this->context.quarantine.merge(losses, sound);
            const std::string host = item.key.substr(ObservationsPrefix.size());
            if (host == this->context.settings.name) {
                this->context.blockQuarantine.restore(decodeBlockFindings(value));
            } else {
                findings[host] = decodeBlockFindings(value);
            }
        } catch (const std::exception &exception) {
            this->reportUnreadable(item, exception.what());
        }
    }
    for (const std::string &key : removedKeys) {
        if (key.starts_with(ObservationsPrefix)) {
            findings[key.substr(ObservationsPrefix.size())] = {};
        }
    }
    if (!findings.empty()) {
        this->context.blockQuarantine.replaceFindings(std::move(findings));
    }
}

void StateUpdater::updateVersionTimes(const StoreMirror &mirror)
{
    for (const StoredItem &item : mirror.items(VersionTimesPrefix)) {
        const std::string name = item.key.substr(VersionTimesPrefix.size());
        const auto applied = this->timedVersions.find(name);
        if (applied != this->timedVersions.end() && applied->second == item.position()) {
            continue;
        }
        try {
            const std::set<int64_t> present = ageMarksLeft(mirror, name);
            const VersionAge age = ageFromMarks(decodeAgeRecord(item.value), present);
            const Time now = this->context.clock.nowWithSuspend();
            // A mark that is still there may have been removed since the contents were complete.
            const Time completeAt = mirror.status().completeAt;
            const TimeBounds setTime{age.atMost && completeAt != Time(0) ? completeAt - *age.atMost : UnknownPast, now - age.atLeast};
            const auto [model, version] = splitVersionName(name);
            const bool isConsistent = this->context.state.recordMarkedTime(model, version, setTime);
            this->timedVersions[name] = item.position();
            this->context.log.write(isConsistent ? LogLevel::Info : LogLevel::Warning, "version_time_read",
                {{"version", name}, {"at_least_ms", toMilliseconds(age.atLeast)}, {"at_most_ms", age.atMost ? toMilliseconds(*age.atMost) : -1},
                    {"marks_left", present.size()}, {"is_consistent", isConsistent}, {"revision", item.revision}});
        } catch (const std::exception &exception) {
            this->reportUnreadable(item, exception.what());
        }
    }
}

void StateUpdater::updateAgeMarks(const StoreMirror &mirror)
{
    std::map<std::string, std::set<int64_t>> marked;
    for (const StoredItem &item : mirror.items(VersionMarksPrefix)) {
        try {
            const auto [model, version] = splitVersionName(item.key.substr(VersionMarksPrefix.size(), item.key.rfind('/') - VersionMarksPrefix.size()));
            marked[model].insert(version);
        } catch (const std::exception &exception) {
            this->reportUnreadable(item, exception.what());
        }
    }
    this->context.state.setMarkedVersions(std::move(marked));
}

void StateUpdater::updateCacheEpochs(const StoreMirror &mirror)
{
    for (const StoredItem &item : mirror.items(CacheEpochsPrefix)) {
        try {
            this->context.cacheStores.openEpoch(item.key.substr(CacheEpochsPrefix.size()), std::stoll(item.value));
        } catch (const std::exception &exception) {
            this->reportUnreadable(item, exception.what());
        }
    }
}

void StateUpdater::updateDeliveries(const StoreMirror &mirror)
{
    const KeyValueLayout &layout = this->context.wire.layout;
    if (!this->context.deliveries.isEnabled()) {
        return;
    }
    const MirrorStatus status = mirror.status();
    const bool isRestoring = status.restoredAt != Time(0) && this->context.clock.nowWithSuspend() < status.restoredAt + RewriteTime;
    const std::string &orderPrefix = layout.deliveryOrderPrefix;
    const std::vector<StatedDelivery> orders
        = this->decodedDeliveryOrders.update(mirror.items(orderPrefix), [&layout, &orderPrefix](const StoredItem &item) -> std::optional<StatedDelivery> {
              return layout.decodeDeliveryOrder(item.key.substr(orderPrefix.size()), item);
          });
    const std::vector<StoredDeliveryState> states
        = this->decodedDeliveryStates.update(mirror.items(DeliveryPrefix), [this](const StoredItem &item) -> std::optional<StoredDeliveryState> {
              Result<DeliveryState> state = decodeDeliveryState(item.value);
              if (!state) {
                  this->reportUnreadable(item, state.error().message);
                  return std::nullopt;
              }
              return StoredDeliveryState{std::move(*state), item.position()};
          });
    // Orders first: without its state, the version of an order gets nothing.
    this->context.deliveries.setOrders(orders, isRestoring);
    this->context.deliveries.setStates(states, isRestoring);
}

void StateUpdater::updateRollout(const StoreMirror &mirror)
{
    const std::optional<StoredItem> item = itemAt(mirror, RolloutStateKey);
    if (!item) {
        return;
    }
    const LatestRollout former = this->context.state.rollout();
    const bool isReceivedLive = this->context.clock.now() > this->createdAt + StartupWindow;
    LatestRollout latest{former.fencingToken, this->context.clock.nowWithSuspend(), isReceivedLive, item->position(), std::nullopt, {}, false};
    try {
        const RolloutAnnouncement announcement = decodeAnnouncement(item->value);
        latest.fencingToken = announcement.fencingToken;
        latest.ordered = announcement.ordered;
        latest.loading = announcement.loadingVersions;
        latest.isHandOver = announcement.isHandOver;
        // The store came back from an older copy, and this host has applied this announcement or a later one.
        const bool isOutdated = eraOfToken(announcement.fencingToken) < item->era && item->revision <= former.position.revision;
        if (!isOutdated) {
            this->applyAnnouncement(announcement);
        }
    } catch (const std::exception &exception) {
        this->reportUnreadable(*item, exception.what());
    }
    // Also if it tells nothing: a new rollout leader then waits.
    this->context.state.recordRollout(latest);
}

// A leader that is lost no longer announces the end of the loads that it has ordered. The targets' own entries show it.
void StateUpdater::releaseLoadedTargets(const std::vector<Registration> &registrations)
{
    if (this->loadingVersions.empty()) {
        return;
    }
    for (const Registration &registration : registrations) {
        const auto loading = this->loadingVersions.find(registration.id);
        // With several models it is not known which of them the target loads.
        const bool isLoaded
            = loading != this->loadingVersions.end() && registration.modelVersions.size() == 1 && registration.modelVersions.begin()->second >= loading->second;
        if (!isLoaded) {
            continue;
        }
        this->loadingVersions.erase(loading);
        if (const TargetPointer target = this->context.directory.find(registration.id)) {
            target->avoidUntil.store(0);
        }
    }
}

void StateUpdater::applyAnnouncement(const RolloutAnnouncement &announcement)
{
    this->loadingVersions = announcement.loadingVersions;
    for (const std::string &id : announcement.loading) {
        if (const TargetPointer target = this->context.directory.find(id)) {
            target->avoidUntil.store((this->context.clock.now() + MaxLoadAvoidance).count());
        }
    }
    for (const FinishedLoad &load : announcement.finished) {
        this->context.directory.recordVersion(load.target, load.model, load.version);
    }
    for (const std::string &id : announcement.released) {
        if (const TargetPointer target = this->context.directory.find(id)) {
            target->avoidUntil.store(0);
        }
    }
}

} // namespace pimentosail
