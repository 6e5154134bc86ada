#include "pimentosail/directory/directory.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// A live target registers again within this time after the platform's store has become reachable again, as the platform
// specifies.
constexpr Duration ReregistrationTime = std::chrono::seconds(2);
// Longest time for which a missing registration is still used. It is short so that a target that left during a store
// outage gets no requests after its drain time.
constexpr Duration MissingRetention = Milliseconds(1500);
// How long a target that has left is remembered; longer than the age of a copy from which a store comes back.
constexpr Duration DepartureMemory = std::chrono::minutes(2);
// Backoff before a target that could not be reached is tried again. It doubles with each failure up to the maximum.
constexpr Duration InitialBackoff = Milliseconds(250);
constexpr Duration MaxBackoff = std::chrono::seconds(4);
// Divisor of the exponential moving averages: a new sample counts one eighth.
constexpr int AverageDivisor = 8;

} // namespace

void recordOutcome(TargetState &target, bool failedRun)
{
    const int before = target.failurePermille.load();
    target.failurePermille.store(before + ((failedRun ? 1000 : 0) - before) / AverageDivisor);
}

void recordResponseTime(TargetState &target, Duration time)
{
    const int64_t before = target.responseTime.load();
    target.responseTime.store(before == 0 ? time.count() : before + (time.count() - before) / AverageDivisor);
}

void TargetDirectory::update(TargetState &state, const Registration &registration, Time now)
{
    state.removed = false;
    if (registration.revision != 0 && registration.position() <= state.position) {
        return;
    }
    state.position = registration.position();
    state.slots = registration.slots;
    // A target that has reported draining stays draining until it restarts.
    state.draining = state.draining || registration.isDraining;
    for (const auto &[model, version] : registration.modelVersions) {
        int64_t &known = state.modelVersions[model];
        known = std::max(known, version);
    }
    if (registration.coldRemaining > Duration(0)) {
        const Time until = now + registration.coldRemaining;
        state.coldUntil.store(std::max(state.coldUntil.load(), until.count()));
    }
}

void TargetDirectory::recordDeparture(const TargetState &state, Time now, int64_t era)
{
    std::erase_if(this->departures, [now](const auto &entry) { return now > entry.second.at + DepartureMemory; });
    this->departures[{state.id, state.startedAt}] = {state.address, era, now, std::nullopt, Time(0)};
}

void TargetDirectory::enterEra(const std::vector<Registration> &registrations, Time now, int64_t storeEra)
{
    this->era = storeEra;
    for (auto &[incarnation, departure] : this->departures) {
        departure.listedAt.reset();
    }
    for (const Registration &registration : registrations) {
        const auto found = this->departures.find({registration.id, registration.startedAt});
        if (found != this->departures.end() && registration.era > found->second.era && registration.address == found->second.address) {
            found->second.listedAt = registration.position();
            found->second.doubtUntil = now + RewriteTime;
        }
    }
}

bool TargetDirectory::isListedByCopy(const Registration &registration, Time now)
{
    const auto found = this->departures.find({registration.id, registration.startedAt});
    if (found == this->departures.end()) {
        return false;
    }
    if (found->second.listedAt == registration.position() && now < found->second.doubtUntil) {
        return true;
    }
    this->departures.erase(found);
    return false;
}

void TargetDirectory::apply(const std::vector<Registration> &registrations, bool storeReachable, Time storeRecoveredAt, int64_t storeEra)
{
    const std::lock_guard lock(this->mutex);
    const Time now = this->clock.now();
    if (storeEra != this->era) {
        this->enterEra(registrations, now, storeEra);
    }
    std::set<std::string> present;
    for (const Registration &registration : registrations) {
        if (this->isListedByCopy(registration, now)) {
            continue;
        }
        present.insert(registration.id);
        TargetPointer &state = this->targets[registration.id];
        const bool restarted = state
            && (state->startedAt != registration.startedAt || state->address != registration.address || state->softwareVersion != registration.softwareVersion);
        if (!state || restarted) {
            const bool isNew = restarted || this->hasAppliedRegistrations;
            if (state) {
                state->removed = true;
                this->recordDeparture(*state, now, storeEra);
            }
            state = std::make_shared<TargetState>();
            state->id = registration.id;
            state->service = registration.service;
            state->address = registration.address;
            state->zone = registration.zone;
            state->softwareVersion = registration.softwareVersion;
            state->startedAt = registration.startedAt;
            const auto cold = this->coldDurations.find(registration.service);
            if (isNew && cold != this->coldDurations.end()) {
                state->coldUntil.store((now + cold->second).count());
            }
        }
        this->update(*state, registration, now);
        this->missingSince.erase(registration.id);
    }
    this->hasAppliedRegistrations = this->hasAppliedRegistrations || !registrations.empty();
    const bool isOutageRecent = !storeReachable || (storeRecoveredAt > Time(0) && now < storeRecoveredAt + ReregistrationTime);
    for (auto entry = this->targets.begin(); entry != this->targets.end();) {
        if (present.contains(entry->first)) {
            ++entry;
            continue;
        }
        const Time since = this->missingSince.emplace(entry->first, now).first->second;
        if (isOutageRecent && !entry->second->draining && now < since + MissingRetention) {
            ++entry;
            continue;
        }
        entry->second->removed = true;
        this->recordDeparture(*entry->second, now, storeEra);
        this->missingSince.erase(entry->first);
        entry = this->targets.erase(entry);
    }
}

void TargetDirectory::setEvacuated(std::set<std::string> zones)
{
    const std::lock_guard lock(this->mutex);
    this->evacuated = std::move(zones);
}

void TargetDirectory::setColdDurations(std::map<std::string, Duration> durations)
{
    const std::lock_guard lock(this->mutex);
    this->coldDurations = std::move(durations);
}

void TargetDirectory::recordVersion(const std::string &id, const std::string &model, int64_t version)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->targets.find(id);
    if (found != this->targets.end()) {
        int64_t &known = found->second->modelVersions[model];
        known = std::max(known, version);
    }
}

TargetStanding TargetDirectory::standing(const TargetState &target) const
{
    const std::lock_guard lock(this->mutex);
    return {target.removed, target.draining, this->evacuated.contains(target.zone)};
}

std::vector<TargetView> TargetDirectory::all(const std::string &service, const std::string &model) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<TargetView> result;
    for (const auto &[id, target] : this->targets) {
        if (target->service == service) {
            const auto version = target->modelVersions.find(model);
            result.push_back({target, version == target->modelVersions.end() ? 0 : version->second});
        }
    }
    return result;
}

std::vector<TargetPointer> TargetDirectory::allTargets() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<TargetPointer> result;
    for (const auto &[id, target] : this->targets) {
        result.push_back(target);
    }
    return result;
}

TargetPointer TargetDirectory::find(const std::string &id) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->targets.find(id);
    return found == this->targets.end() ? nullptr : found->second;
}

void TargetDirectory::recordUnreachable(TargetState &target)
{
    const int failures = target.connectFailures.fetch_add(1);
    const Duration backoff = std::min(InitialBackoff * (1 << std::min(failures, 4)), MaxBackoff);
    const std::lock_guard lock(this->mutex);
    const Time until = this->clock.now() + backoff;
    target.avoidUntil.store(std::max(target.avoidUntil.load(), until.count()));
    const auto cold = this->coldDurations.find(target.service);
    if (cold != this->coldDurations.end() && cold->second > Duration(0)) {
        target.coldUntil.store(std::max(target.coldUntil.load(), (until + cold->second).count()));
    }
}

size_t TargetDirectory::size() const
{
    const std::lock_guard lock(this->mutex);
    return this->targets.size();
}

} // namespace pimentosail
