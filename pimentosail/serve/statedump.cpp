#include "pimentosail/serve/statedump.h"

#include <memory>

#include "pimentosail/base/statelog.h"

namespace pimentosail
{

namespace
{

Json::Value dumpTarget(const TargetTable &targets, TargetIndex index, Time now)
{
    const Target &target = targets.at(index);
    Json::Value value;
    value["name"] = target.description.name;
    value["model"] = target.description.model;
    value["zone"] = target.description.zone;
    value["owner"] = target.description.owner;
    value["remote"] = target.description.remote;
    value["state"] = targetUsabilityName(targets.usabilityOf(index, 0, now));
    value["cold"] = target.report.cold || target.coldByEvidence;
    value["version"] = Json::Int64(target.report.version);
    value["in_flight"] = Json::Int64(targets.inFlight(index, now));
    value["limit"] = Json::Int64(targets.limit(index, now));
    value["usable_slots"] = Json::Int64(target.description.usableSlots);
    value["queued_tokens"] = Json::Int64(targets.queuedTokens(index, Priority::Batch));
    value["prefill_tokens_per_s"] = targets.prefillRate(index);
    value["consecutive_failures"] = target.consecutiveFailures;
    value["report_age_ms"] = target.reportedAt < Time(0) ? Json::Int64(-1) : Json::Int64(toMilliseconds(now - target.reportedAt));
    value["eviction_age_s"] = target.evictedBefore < Time(0) ? -1.0 : toSeconds(now - target.evictedBefore);
    return value;
}

Json::Value dumpCounts(const SchedulerCounts &counts)
{
    Json::Value value;
    value["dispatched"] = Json::Int64(counts.dispatched);
    value["forwarded"] = Json::Int64(counts.forwarded);
    value["refused_deadline"] = Json::Int64(counts.refusedDeadline);
    value["refused_no_target"] = Json::Int64(counts.refusedNoTarget);
    value["refused_full"] = Json::Int64(counts.refusedFull);
    value["preempted"] = Json::Int64(counts.preempted);
    value["exports"] = Json::Int64(counts.exports);
    value["imports"] = Json::Int64(counts.imports);
    value["prompt_tokens"] = Json::Int64(counts.promptTokens);
    value["computed_tokens"] = Json::Int64(counts.computedTokens);
    return value;
}

Json::Value dumpScheduler(Scheduler &scheduler, Time now)
{
    Json::Value value;
    value["targets"] = Json::Value(Json::arrayValue);
    for (size_t index = 0; index < scheduler.targets().size(); ++index) {
        value["targets"].append(dumpTarget(scheduler.targets(), static_cast<TargetIndex>(index), now));
    }
    value["counts"] = dumpCounts(scheduler.counts());
    value["waiting"] = Json::UInt64(scheduler.waitingCount());
    value["running"] = Json::UInt64(scheduler.runningCount());
    value["prompts_known"] = Json::UInt64(scheduler.promptCount());
    value["recent_decisions"] = Json::Value(Json::arrayValue);
    for (const DecisionRecord &record : scheduler.recentDecisions()) {
        Json::Value item;
        item["target"] = record.target;
        item["source"] = sourceName(record.source);
        item["predicted_ms"] = Json::Int64(toMilliseconds(record.predicted));
        item["actual_ms"] = Json::Int64(toMilliseconds(record.actual));
        value["recent_decisions"].append(item);
    }
    return value;
}

// Runs `print` on the decision thread. The result is shared because `inspect` may time out before `print` has run.
Json::Value inspectScheduler(Context &context, const std::function<Json::Value(Scheduler &)> &print)
{
    auto result = std::make_shared<Json::Value>();
    context.decisions.inspect([result, print](Scheduler &scheduler) { *result = print(scheduler); });
    return *result;
}

Json::Value dumpView(Context &context)
{
    const View view = context.membership.view();
    Json::Value value;
    value["generation"] = Json::Int64(view.generation);
    value["has_authority"] = context.membership.hasAuthority();
    value["has_lease"] = context.membership.hasLease();
    for (const Member &member : view.members) {
        Json::Value item;
        item["name"] = member.name;
        item["zone"] = member.zone;
        item["address"] = member.address;
        item["established"] = member.established;
        item["heard"] = context.membership.hasRecentHeartbeat(member.name);
        item["draining"] = context.membership.isDraining(member.name);
        value["members"].append(item);
    }
    for (const RemovedMember &member : view.removedMembers) {
        value["ghosts"].append(member.name);
    }
    return value;
}

Json::Value dumpConfiguration(Context &context)
{
    const ConfigurationPointer configuration = context.configuration.current();
    Json::Value value;
    value["revision"] = Json::Int64(configuration ? configuration->revision : 0);
    value["refused"] = context.configuration.lastRefusal();
    if (configuration) {
        for (const std::string &zone : configuration->zonesOut) {
            value["zones_out"].append(zone);
        }
        for (const std::string &host : configuration->hostsOut) {
            value["hosts_out"].append(host);
        }
        for (const Team &team : configuration->lists.teams) {
            Json::Value item;
            item["team"] = team.name;
            item["owner"] = context.membership.view().ownerOf("allowance/" + team.name);
            item["spent_here"] = Json::Int64(context.allowances.consumedTokens(team.name));
            value["teams"].append(item);
        }
    }
    return value;
}

Json::Value dumpRecords(Context &context)
{
    Json::Value value;
    value["held"] = Json::UInt64(context.records.recordCount());
    value["writes"] = Json::Int64(context.records.writeCount());
    for (int shard = 0; shard < RecordShardCount; ++shard) {
        Json::Value item;
        item["shard"] = shard;
        item["owner"] = context.membership.view().ownerOf(recordRole(shard));
        item["standing"] = roleStateName(context.membership.roleState(recordRole(shard)));
        value["shards"].append(item);
    }
    return value;
}

Json::Value dumpLinks(Context &context)
{
    Json::Value value(Json::arrayValue);
    for (const LinkSummary &link : context.transfers.ownLinks()) {
        Json::Value item;
        item["store_hash"] = link.storeHash;
        item["tier"] = tierName(static_cast<Tier>(link.tier));
        item["usable"] = link.usable;
        item["wait_ms"] = link.waitMilliseconds;
        item["eviction_age_s"] = link.evictionAgeSeconds;
        value.append(item);
    }
    return value;
}

} // namespace

Json::Value dumpStatus(Context &context, bool ready)
{
    const ConfigurationPointer configuration = context.configuration.current();
    Json::Value value;
    value["name"] = context.settings.name;
    value["zone"] = context.settings.zone;
    value["ready"] = ready;
    value["revision"] = Json::Int64(configuration ? configuration->revision : 0);
    value["generation"] = Json::Int64(context.membership.view().generation);
    value["has_authority"] = context.membership.hasAuthority();
    value["targets"] = inspectScheduler(context, [&context](Scheduler &scheduler) {
        const Time now = context.clock.now();
        Json::Value targets(Json::arrayValue);
        for (size_t index = 0; index < scheduler.targets().size(); ++index) {
            if (!scheduler.targets().at(static_cast<TargetIndex>(index)).description.remote) {
                targets.append(dumpTarget(scheduler.targets(), static_cast<TargetIndex>(index), now));
            }
        }
        return targets;
    });
    return value;
}

Json::Value dumpProcess(Context &context, bool ready)
{
    Json::Value value;
    value["name"] = context.settings.name;
    value["zone"] = context.settings.zone;
    value["ready"] = ready;
    value["view"] = dumpView(context);
    value["configuration"] = dumpConfiguration(context);
    value["records"] = dumpRecords(context);
    value["links"] = dumpLinks(context);
    value["suspects"] = Json::UInt64(context.suspects.size());
    value["invariant_violations"] = Json::Int64(violationCount());
    value["decisions"] = inspectScheduler(context, [&context](Scheduler &scheduler) { return dumpScheduler(scheduler, context.clock.now()); });
    return value;
}

} // namespace pimentosail
