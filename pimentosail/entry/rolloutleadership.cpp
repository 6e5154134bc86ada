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
// A load order is sent at most this long after its announcement. A new leader waits for the end of this time, counted from
// the last announcement of its predecessor.
constexpr Duration OrderWindow = Milliseconds(1000);

} // namespace

RolloutLeadership::RolloutLeadership(EntryContext &entryContext, PrefixStore platformStore, const StoreMirror &storeMirror)
    : context(entryContext)
    , store(std::move(platformStore))
    , mirror(storeMirror)
{
    Json::Value value;
    value["host"] = this->context.settings.name;
    value["nonce"] = randomId();
    this->keyValue = printJson(value);
}

void RolloutLeadership::stop()
{
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
    const Time now = this->context.clock.nowWithSuspend();
    return this->ownToken != 0 && !this->isOfEarlierEra() && now < this->trustedUntil - LeadershipMargin && now >= this->mayOrderFrom;
}

bool RolloutLeadership::isOfEarlierEra() const
{
    return this->leaderSince.era < this->mirror.status().era;
}

bool RolloutLeadership::isAnnounced(Duration later) const
{
    return this->context.clock.nowWithSuspend() + later < this->announcedAt + OrderWindow;
}

void RolloutLeadership::lose(const char *reason)
{
    this->context.log.write(LogLevel::Warning, "rollout_right_lost", {{"fence", this->ownToken}, {"reason", reason}});
    this->ownToken = 0;
    this->setHolding(std::nullopt);
    this->lease = {};
    this->mayOrderFrom = Time::max();
    this->announcedAt = Time(0);
}

void RolloutLeadership::tryAcquire()
{
    const Time now = this->context.clock.now();
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
        if (!this->context.state.readsFromSource() && now < this->vacantSince + NonRelayAcquireDelay) {
            return;
        }
    }
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
    this->mayOrderFrom = Time::max();
    this->setHolding(StoreCondition{RolloutLeaderKey, this->leaderSince.revision, this->leaderSince.era});
    this->context.log.write(LogLevel::Info, "rollout_right_taken", {{"fence", this->ownToken}, {"era", outcome.era}, {"revision", outcome.revision}});
}

// The previous leader of this era sent its last load order at most `OrderWindow` after its last announcement, and it cannot announce
// anything after this leader's key was written. So the last announcement is known once the mirror has the state of the
// store as of that write. A leader of the lost history may have announced orders until the store came back, and nothing is left of that. The
// first leader of an era waits for the end of these orders before it announces anything, so no leader after an announcement of the era has to.
void RolloutLeadership::finishTakeover()
{
    const MirrorStatus status = this->mirror.status();
    if (this->mayOrderFrom != Time::max() || status.position() < this->leaderSince) {
        return;
    }
    const std::optional<StoredItem> announcement = itemAt(this->mirror, RolloutStateKey);
    const LatestRollout last = this->context.state.rollout();
    if (announcement && announcement->position() != last.position) {
        // The listener of the mirror is about to record it.
        return;
    }
    const Duration distance = OrderWindow + this->context.settings.leaderGap;
    const bool isFirstOfEra = last.fencingToken == 0 || eraOfToken(last.fencingToken) != this->leaderSince.era;
    Time from = isFirstOfEra ? status.eraSince + distance : Time(0);
    // Otherwise there was no announcement, or the lease of the last one has ended.
    if (last.fencingToken != 0 && (last.isReceivedLive || itemAt(this->mirror, RecentLoadOrderKey))) {
        from = std::max(from, last.at + distance);
    }
    this->mayOrderFrom = from;
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
    if (this->ownToken != 0 && this->isOfEarlierEra()) {
        this->lose("the store came back from an older copy");
    }
    const Time now = this->context.clock.nowWithSuspend();
    if (now >= this->nextRenewal) {
        this->nextRenewal = now + RenewInterval;
        this->renew(now);
    }
    if (this->ownToken != 0) {
        this->finishTakeover();
    }
}

bool RolloutLeadership::announce(const std::string &announcement)
{
    if (this->isOfEarlierEra()) {
        this->lose("the store came back from an older copy");
        return false;
    }
    const Time requestedAt = this->context.clock.nowWithSuspend();
    try {
        // The lease starts before the announcement. It is long enough to end no earlier than `leaderGap` after the last
        // load order that the announcement permits.
        const StoreLease recent = this->store.grantLease(2 * OrderWindow + this->context.settings.leaderGap);
        const CommitOutcome outcome = this->store.commit({{{RolloutLeaderKey, this->leaderSince.revision, this->leaderSince.era}},
            {{RolloutStateKey, announcement, 0}, {RecentLoadOrderKey, std::to_string(this->ownToken), recent}}, {}});
        if (outcome.status == CommitStatus::Committed) {
            this->announcedAt = requestedAt;
            return true;
        }
        if (outcome.status == CommitStatus::LeaseEnded) {
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
