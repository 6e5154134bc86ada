#include "pimentosail/entry/rolloutleadership.h"

#include <algorithm>
#include <utility>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"
#include "pimentosail/entry/ownwrites.h"
#include "pimentosail/entry/stateupdater.h"
#include "pimentosail/rollout/fencingtoken.h"

namespace pimentosail
{

namespace
{

// Lease time of the rollout leadership. The failure of the leader delays a rollout by about twice this time.
constexpr Duration LeadershipLease = std::chrono::seconds(3);
constexpr Duration RenewInterval = Milliseconds(900);
// If there are relays, they may acquire the leadership at once, the other hosts only after nobody has had it for this long.
constexpr Duration NonRelayAcquireDelay = std::chrono::seconds(2);
// No load order is sent this close to the end of the lease, because an order must arrive before another host can become
// the leader.
constexpr Duration LeadershipMargin = Milliseconds(700);
// The same after a leader has given up the leadership as planned, when the hosts try to take it as soon as they hear of that. Their attempts are
// spread over a time in which most of them hear of the first one that succeeds, since each attempt costs calls to the store.
constexpr Duration NonRelayHandOverDelay = Milliseconds(500);
constexpr Duration HandOverSpread = Milliseconds(300);

} // namespace

RolloutLeadership::RolloutLeadership(EntryContext &entryContext, PrefixStore platformStore, const StoreMirror &storeMirror)
    : context(entryContext)
    , store(std::move(platformStore))
    , mirror(storeMirror)
    , recentOrders(OrderWindow + entryContext.settings.leaderGap)
{
    Json::Value value;
    value["host"] = this->context.settings.name;
    value["nonce"] = randomId();
    this->keyValue = printJson(value);
}

void RolloutLeadership::stop(RolloutAnnouncement announcement, const std::vector<std::string> &pending)
{
    const std::lock_guard lock(this->mutex);
    // A leader that still waits for orders of a former one must not announce anything: its successor would take that for all there is to know.
    if (this->ownToken != 0 && this->takenOver && this->context.clock.nowWithSuspend() >= this->takenOver->allFrom && !this->isOfEarlierEra()) {
        announcement.isHandOver = true;
        try {
            const std::string value = this->complete(announcement, pending);
            const CommitOutcome outcome = this->store.commit({this->announcementConditions(), {{RolloutStateKey, value, 0}}, {RolloutLeaderKey}});
            this->context.log.write(
                LogLevel::Info, "rollout_right_handed_over", {{"fence", this->ownToken}, {"done", outcome.status == CommitStatus::Committed}});
        } catch (const Failure &failure) {
            // The leadership ends with its lease.
            this->context.log.write(LogLevel::Warning, "rollout_right_handed_over", {{"fence", this->ownToken}, {"done", false}, {"reason", failure.what()}});
        }
    }
    this->ownToken = 0;
    this->setHolding(std::nullopt);
    endLease(this->context.log, this->mirror, this->store, this->lease);
}

std::optional<StoreCondition> RolloutLeadership::holding() const
{
    const std::lock_guard lock(this->holdingMutex);
    return this->heldCondition;
}

void RolloutLeadership::setHolding(std::optional<StoreCondition> condition)
{
    const std::lock_guard lock(this->holdingMutex);
    this->heldCondition = std::move(condition);
}

bool RolloutLeadership::mayOrder() const
{
    const std::lock_guard lock(this->mutex);
    return this->mayOrderLocked();
}

bool RolloutLeadership::isAnnounced(Duration later) const
{
    const std::lock_guard lock(this->mutex);
    return this->isAnnouncedLocked(later);
}

std::optional<int64_t> RolloutLeadership::orderToken(const std::string &target) const
{
    const std::lock_guard lock(this->mutex);
    if (!this->mayOrderLocked() || !this->isAnnouncedLocked(Duration(0)) || !this->takenOver->mayOrder(target, this->context.clock.nowWithSuspend())) {
        return std::nullopt;
    }
    return this->ownToken;
}

HandOver RolloutLeadership::handOver() const
{
    const std::lock_guard lock(this->mutex);
    return this->takenOver.value_or(HandOver{Time::max(), {}, {}, {}});
}

void RolloutLeadership::recordOrder(const std::string &target)
{
    const std::lock_guard lock(this->mutex);
    this->recentOrders.record(target, this->context.clock.nowWithSuspend());
}

bool RolloutLeadership::mayOrderLocked() const
{
    const Time now = this->context.clock.nowWithSuspend();
    return this->ownToken != 0 && !this->isOfEarlierEra() && now < this->trustedUntil - LeadershipMargin && this->takenOver && now >= this->takenOver->allFrom;
}

bool RolloutLeadership::isOfEarlierEra() const
{
    return this->leaderSince.era < this->mirror.status().era;
}

bool RolloutLeadership::isAnnouncedLocked(Duration later) const
{
    return this->context.clock.nowWithSuspend() + later < this->announcedAt + OrderWindow;
}

void RolloutLeadership::lose(const char *reason)
{
    this->context.log.write(LogLevel::Warning, "rollout_right_lost", {{"fence", this->ownToken}, {"reason", reason}});
    this->ownToken = 0;
    this->setHolding(std::nullopt);
    this->lease = {};
    this->takenOver.reset();
    this->announcedAt = Time(0);
}

void RolloutLeadership::tryAcquire()
{
    const Time now = this->context.clock.now();
    const LatestRollout last = this->context.state.rollout();
    // Read before the item: the condition fails if the item is of a later era.
    StoreCondition condition{RolloutLeaderKey, 0, this->mirror.status().era};
    if (const std::optional<StoredItem> leader = itemAt(this->mirror, RolloutLeaderKey)) {
        if (leader->value != this->keyValue) {
            this->vacantSince = Time(0);
            return;
        }
        // This process wrote the key, but has lost the leadership or the answer since, or the key is in the copy from which the store came
        // back. It need not wait for the end of its own lease.
        condition.revision = leader->revision;
    } else {
        this->vacantSince = this->vacantSince == Time(0) ? now : this->vacantSince;
        Duration delay = this->context.state.readsFromSource() ? Duration(0) : NonRelayAcquireDelay;
        if (last.isHandOver) {
            delay = (this->context.state.readsFromSource() ? Duration(0) : NonRelayHandOverDelay)
                + Duration(static_cast<int64_t>(stableHash(this->context.settings.name) % static_cast<uint64_t>(HandOverSpread.count())));
        }
        if (now < this->vacantSince + delay) {
            return;
        }
    }
    this->triedHandOver = last.position;
    const Time requestedAt = this->context.clock.nowWithSuspend();
    this->lease = this->store.grantLease(LeadershipLease);
    const CommitOutcome outcome = this->store.commit({{condition}, {{RolloutLeaderKey, this->keyValue, this->lease}}, {}});
    if (outcome.status != CommitStatus::Committed) {
        endLease(this->context.log, this->mirror, this->store, this->lease);
        return;
    }
    const Result<int64_t> token = fencingToken(outcome.position());
    if (!token) {
        this->context.log.write(LogLevel::Error, "rollout_right_unusable", {{"reason", token.error().message}});
        endLease(this->context.log, this->mirror, this->store, this->lease);
        return;
    }
    this->leaderSince = outcome.position();
    this->ownToken = *token;
    this->trustedUntil = requestedAt + LeadershipLease;
    this->takenOver.reset();
    this->announcedAt = Time(0);
    this->setHolding(StoreCondition{RolloutLeaderKey, this->leaderSince.revision, this->leaderSince.era});
    this->context.log.write(LogLevel::Info, "rollout_right_taken", {{"fence", this->ownToken}, {"era", outcome.era}, {"revision", outcome.revision}});
}

// The previous leader of this era sent its last load order at most `OrderWindow` after its last announcement, to a target that it names, and it
// cannot announce anything after this leader's key was written. So the last announcement is known once the mirror has the state of the
// store as of that write. A leader of the lost history may have announced orders until the store came back, and nothing is left of that. The
// first leader of an era waits for the end of these orders before it announces anything, so no leader after an announcement of the era has to.
void RolloutLeadership::finishTakeover()
{
    const MirrorStatus status = this->mirror.status();
    if (this->takenOver || status.position() < this->leaderSince) {
        return;
    }
    const std::optional<StoredItem> announcement = itemAt(this->mirror, RolloutStateKey);
    const LatestRollout last = this->context.state.rollout();
    if (announcement && announcement->position() != last.position) {
        // The listener of the mirror is about to record it.
        return;
    }
    PredecessorOrders predecessor;
    if (last.fencingToken == 0 || eraOfToken(last.fencingToken) != this->leaderSince.era) {
        predecessor.eraSince = status.eraSince;
    }
    // Otherwise there was no announcement, or the lease of the last one has ended.
    if (last.fencingToken != 0 && (last.isReceivedLive || itemAt(this->mirror, RecentLoadOrderKey))) {
        predecessor.announcedAt = last.at;
        predecessor.ordered = last.ordered;
        predecessor.loading = last.loading;
        // The next leader knows only the announcements of this one.
        for (const std::string &target : last.ordered.value_or(std::vector<std::string>{})) {
            this->recentOrders.record(target, last.at + OrderWindow);
        }
    }
    this->announcementRevision = announcement ? announcement->revision : 0;
    this->takenOver = planHandOver(predecessor, OrderWindow + this->context.settings.leaderGap);
    this->context.log.write(LogLevel::Info, "rollout_taken_over",
        {{"fence", this->ownToken}, {"names_known", predecessor.ordered.has_value()}, {"held_targets", this->takenOver->named.size()},
            {"wait_ms", toMilliseconds(std::max(Duration(0), this->takenOver->allFrom - this->context.clock.nowWithSuspend()))}});
}

void RolloutLeadership::renew(Time now)
{
    try {
        if (this->ownToken == 0) {
            this->tryAcquire();
            return;
        }
        if (this->store.keepAlive(this->lease)) {
            this->trustedUntil = now + LeadershipLease;
            return;
        }
        this->lose("the lease has ended");
    } catch (const Failure &) {
        this->context.metrics.count("pimentosail_store_failures_total", {{"duty", "rollout"}});
        if (this->ownToken != 0 && this->context.clock.nowWithSuspend() > this->trustedUntil) {
            this->lose("not renewed in time");
        } else if (this->ownToken == 0) {
            // The key may have been written although the answer was lost. It is removed when its lease ends.
            this->lease = {};
        }
    }
}

void RolloutLeadership::maintain()
{
    const std::lock_guard lock(this->mutex);
    if (this->ownToken != 0 && this->isOfEarlierEra()) {
        this->lose("the store came back from an older copy");
    }
    const Time now = this->context.clock.nowWithSuspend();
    if (now >= this->nextRenewal || this->isHandedOver()) {
        this->nextRenewal = now + RenewInterval;
        this->renew(now);
    }
    if (this->ownToken != 0) {
        this->finishTakeover();
    }
}

bool RolloutLeadership::isHandedOver() const
{
    const LatestRollout last = this->context.state.rollout();
    return this->ownToken == 0 && last.isHandOver && last.isReceivedLive && last.position != this->triedHandOver && !itemAt(this->mirror, RolloutLeaderKey);
}

// Completes and encodes the announcement.
std::string RolloutLeadership::complete(RolloutAnnouncement &announcement, const std::vector<std::string> &pending)
{
    const Time now = this->context.clock.nowWithSuspend();
    for (const std::string &target : pending) {
        this->recentOrders.record(target, now);
    }
    announcement.fencingToken = this->ownToken;
    announcement.ordered = this->recentOrders.names(now);
    return encodeAnnouncement(announcement);
}

// An announcement whose write seemed to fail may still reach the store. The second condition keeps it from replacing a later one, which names
// targets that it does not.
std::vector<StoreCondition> RolloutLeadership::announcementConditions() const
{
    int64_t revision = 0;
    if (this->announcementRevision) {
        revision = *this->announcementRevision;
    } else if (const std::optional<StoredItem> item = itemAt(this->mirror, RolloutStateKey)) {
        revision = item->revision;
    }
    return {{RolloutLeaderKey, this->leaderSince.revision, this->leaderSince.era}, {RolloutStateKey, revision, this->leaderSince.era}};
}

bool RolloutLeadership::announce(RolloutAnnouncement announcement, const std::vector<std::string> &pending)
{
    const std::lock_guard lock(this->mutex);
    if (this->isOfEarlierEra()) {
        this->lose("the store came back from an older copy");
        return false;
    }
    const Time requestedAt = this->context.clock.nowWithSuspend();
    const std::string value = this->complete(announcement, pending);
    const bool isUncertain = !this->announcementRevision;
    const std::vector<StoreCondition> conditions = this->announcementConditions();
    try {
        // The lease starts before the announcement. It is long enough to end no earlier than `leaderGap` after the last
        // load order that the announcement permits.
        const StoreLease recent = this->store.grantLease(2 * OrderWindow + this->context.settings.leaderGap);
        this->announcementRevision.reset();
        // The announcement is written last: a store that counts each write of a transaction reports the revision of the last one.
        const CommitOutcome outcome
            = this->store.commit({conditions, {{RecentLoadOrderKey, std::to_string(this->ownToken), recent}, {RolloutStateKey, value, 0}}, {}});
        if (outcome.status == CommitStatus::Committed) {
            this->announcementRevision = outcome.revision;
            this->announcedAt = requestedAt;
            return true;
        }
        if (outcome.status == CommitStatus::LeaseEnded) {
            return false;
        }
        const std::optional<StoredItem> leader = itemAt(this->mirror, RolloutLeaderKey);
        if (isUncertain && leader && leader->value == this->keyValue) {
            // An earlier announcement was written after all, and the mirror does not have it yet.
            return false;
        }
        this->lose("another host is the leader, or the store came back from an older copy");
    } catch (const Failure &) {
        // Without the announcement, the other hosts get the version from the registrations and notice the load when the
        // target refuses requests.
        this->context.metrics.count("pimentosail_store_failures_total", {{"duty", "rollout"}});
    }
    return false;
}

} // namespace pimentosail
