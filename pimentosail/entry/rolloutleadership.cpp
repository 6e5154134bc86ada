#include "pimentosail/entry/rolloutleadership.h"

#include <utility>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"
#include "pimentosail/entry/stateupdater.h"

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
    , nonce(randomId())
{
}

void RolloutLeadership::stop()
{
    if (this->lease.isGranted()) {
        try {
            this->store.revokeLease(std::exchange(this->lease, {}));
        } catch (const Failure &failure) {
            this->context.log.write(LogLevel::Warning, "lease_not_ended", {{"lease", this->lease.id}, {"reason", failure.what()}});
        }
    }
}

bool RolloutLeadership::mayOrder() const
{
    const Time now = this->context.clock.nowWithSuspend();
    return this->fencingToken != 0 && now < this->trustedUntil - LeadershipMargin && now >= this->mayOrderFrom;
}

bool RolloutLeadership::isAnnounced(Duration later) const
{
    return this->context.clock.nowWithSuspend() + later < this->announcedAt + OrderWindow;
}

void RolloutLeadership::lose(const char *reason)
{
    this->context.log.write(LogLevel::Warning, "rollout_right_lost", {{"fence", this->fencingToken}, {"reason", reason}});
    this->fencingToken = 0;
    this->lease = {};
    this->mayOrderFrom = Time::max();
}

void RolloutLeadership::tryAcquire()
{
    const Time now = this->context.clock.now();
    if (!this->mirror.items(RolloutLeaderKey).empty()) {
        this->vacantSince = Time(0);
        return;
    }
    this->vacantSince = this->vacantSince == Time(0) ? now : this->vacantSince;
    if (!this->context.state.readsFromSource() && now < this->vacantSince + NonRelayAcquireDelay) {
        return;
    }
    const Time requestedAt = this->context.clock.nowWithSuspend();
    this->lease = this->store.grantLease(LeadershipLease);
    Json::Value value;
    value["host"] = this->context.settings.name;
    value["nonce"] = this->nonce;
    const CommitOutcome outcome = this->store.commit({{{RolloutLeaderKey, 0}}, {{RolloutLeaderKey, printJson(value), this->lease}}, {}});
    if (outcome.status != CommitStatus::Committed) {
        this->store.revokeLease(this->lease);
        this->lease = {};
        return;
    }
    this->fencingToken = outcome.revision;
    this->trustedUntil = requestedAt + LeadershipLease;
    this->mayOrderFrom = Time::max();
    this->context.log.write(LogLevel::Info, "rollout_right_taken", {{"fence", this->fencingToken}});
}

// The previous leader sent its last load order at most `OrderWindow` after its last announcement, and it cannot announce
// anything after this leader's key was written. So the last announcement is known once the mirror has the state of the
// store as of that write.
void RolloutLeadership::finishTakeover()
{
    if (this->mayOrderFrom != Time::max() || this->mirror.status().revision < this->fencingToken) {
        return;
    }
    const LatestRollout last = this->context.state.rollout();
    if (last.fencingToken == 0 || (!last.isReceivedLive && this->mirror.items(RecentLoadOrderKey).empty())) {
        // There was no announcement, or the lease of the last one has ended.
        this->mayOrderFrom = Time(0);
        return;
    }
    this->mayOrderFrom = last.at + OrderWindow + this->context.settings.leaderGap;
}

void RolloutLeadership::renew(Time now)
{
    try {
        if (this->fencingToken == 0) {
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
        if (this->fencingToken != 0 && this->context.clock.nowWithSuspend() > this->trustedUntil) {
            this->lose("not renewed in time");
        } else if (this->fencingToken == 0) {
            // The key may have been written although the answer was lost. It is removed when its lease ends.
            this->lease = {};
        }
    }
}

void RolloutLeadership::maintain()
{
    const Time now = this->context.clock.nowWithSuspend();
    if (now >= this->nextRenewal) {
        this->nextRenewal = now + RenewInterval;
        this->renew(now);
    }
    if (this->fencingToken != 0) {
        this->finishTakeover();
    }
}

bool RolloutLeadership::announce(const std::string &announcement)
{
    const Time requestedAt = this->context.clock.nowWithSuspend();
    try {
        // The lease starts before the announcement. It is long enough to end no earlier than `leaderGap` after the last
        // load order that the announcement permits.
        const StoreLease recent = this->store.grantLease(2 * OrderWindow + this->context.settings.leaderGap);
        const CommitOutcome outcome = this->store.commit({{{RolloutLeaderKey, this->fencingToken}},
            {{RolloutStateKey, announcement, 0}, {RecentLoadOrderKey, std::to_string(this->fencingToken), recent}}, {}});
        if (outcome.status == CommitStatus::Committed) {
            this->announcedAt = requestedAt;
            return true;
        }
        if (outcome.status == CommitStatus::LeaseEnded) {
            return false;
        }
        this->lose("another host is the leader");
    } catch (const Failure &) {
        // Without the announcement, the other hosts get the version from the registrations and notice the load when the
        // target refuses requests.
        this->context.metrics.count("pimentosail_store_failures_total", {{"duty", "rollout"}});
    }
    return false;
}

} // namespace pimentosail
