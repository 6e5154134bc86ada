#include <random>
#include <set>

#include <criterion/criterion.h>

#include "pimentosail/base/hash.h"
#include "pimentosail/decision/linkscheduler.h"
#include "pimentosail/decision/scheduler.h"
#include "pimentosail/decision/storecontents.h"

using namespace pimentosail;

namespace
{

constexpr Duration Second = std::chrono::seconds(1);

// A scheduler with `targetCount` warm targets of one model, and a clock that the test sets.
class Fixture
{
public:
    explicit Fixture(int targetCount, Scheduler::Options options = {})
        : scheduler(options, PredictedPolicy{})
    {
        Model model;
        model.name = "m";
        model.pool = "m";
        model.cacheBytesPerToken = 20'000;
        this->scheduler.setModels({model});
        this->scheduler.describeStore("s");
        for (int index = 0; index < targetCount; ++index) {
            TargetDescription description;
            description.name = "t" + std::to_string(index);
            description.model = "m";
            description.usableSlots = description.warmLimit;
            this->descriptions.push_back(description);
            this->scheduler.describeTarget(description, this->now);
            this->report(index);
        }
    }

    std::vector<Command> report(TargetIndex target, bool cold = false, const std::string &boot = "b")
    {
        TargetReport report;
        report.boot = boot;
        report.cold = cold;
        report.running = this->scheduler.targets().at(target).inFlight;
        report.prefillTokensPerSecond = 20'000;
        return this->scheduler.handle(TargetReported{target, report}, this->now);
    }

    RequestInfo request(uint64_t promptKey, Priority priority = Priority::Interactive, int64_t tokens = 8000)
    {
        RequestInfo info;
        info.id = ++this->lastId;
        info.team = "team";
        info.model = "m";
        info.priority = priority;
        info.promptTokens = tokens;
        info.promptKey = promptKey;
        info.firstTokenDeadline = this->now + Second * 5;
        info.finishDeadline = this->now + Second * 60;
        if (priority == Priority::Batch) {
            info.firstTokenDeadline = this->now + Second * 3600;
            info.finishDeadline = this->now + Second * 7200;
        }
        for (int64_t block = 0; block < tokens / 4000; ++block) {
            info.blocks.push_back(promptKey + static_cast<uint64_t>(block));
        }
        return info;
    }

    template <typename CommandType>
    std::vector<CommandType> commandsFor(const Event &event)
    {
        std::vector<CommandType> matches;
        for (const Command &command : this->scheduler.handle(event, this->now)) {
            if (const auto *match = std::get_if<CommandType>(&command)) {
                matches.push_back(*match);
            }
        }
        return matches;
    }

    Dispatch expectDispatch(const RequestInfo &info)
    {
        const std::vector<Dispatch> commands = this->commandsFor<Dispatch>(RequestArrived{info});
        cr_assert_eq(commands.size(), 1U);
        return commands[0];
    }

    void finish(RequestId id)
    {
        this->scheduler.handle(FirstTokenSeen{id, -1}, this->now);
        this->scheduler.handle(AttemptEnded{id, AttemptOutcome::Finished}, this->now);
    }

    Time now{Second * 1000};
    Scheduler scheduler;
    std::vector<TargetDescription> descriptions;
    RequestId lastId = 0;
};

} // namespace

Test(scheduler, a_returning_prompt_goes_to_the_target_that_has_it_cached)
{
    Fixture fixture(6);
    const Dispatch first = fixture.expectDispatch(fixture.request(77));
    fixture.finish(first.id);
    fixture.now += Second;
    const Dispatch second = fixture.expectDispatch(fixture.request(77));
    cr_assert_eq(second.target, first.target);
    cr_assert_eq(second.source.kind, SourceKind::TargetCache);
    cr_assert_eq(second.source.tokens, 8000);
}

Test(scheduler, an_evicted_prompt_is_not_expected_in_the_cache)
{
    Fixture fixture(1);
    const RequestInfo older = fixture.request(10);
    const RequestInfo newer = fixture.request(20);
    fixture.finish(fixture.expectDispatch(older).id);
    fixture.now += Second;
    fixture.finish(fixture.expectDispatch(newer).id);
    fixture.now += Second;
    // Targets evict the least recently used prompts first: the eviction of the older prompt does not concern the newer one,
    // but the eviction of the newer one means that both were evicted.
    fixture.scheduler.handle(BlockEvicted{0, older.blocks.back()}, fixture.now);
    cr_assert_eq(fixture.expectDispatch(fixture.request(20)).source.kind, SourceKind::TargetCache);
    fixture.scheduler.handle(BlockEvicted{0, newer.blocks.back()}, fixture.now);
    cr_assert_eq(fixture.expectDispatch(fixture.request(10)).source.kind, SourceKind::Recompute);
}

Test(scheduler, a_cold_target_gets_no_more_than_its_cold_limit)
{
    Fixture fixture(1);
    fixture.report(0, true);
    size_t running = 0;
    for (int index = 0; index < 10; ++index) {
        running += fixture.commandsFor<Dispatch>(RequestArrived{fixture.request(static_cast<uint64_t>(index) * 100, Priority::Batch)}).size();
    }
    cr_assert_eq(running, 2U);
}

Test(scheduler, a_target_ramps_up_after_a_cold_start)
{
    Fixture fixture(1);
    fixture.report(0, true);
    fixture.report(0, false);
    cr_assert_eq(fixture.scheduler.targets().limit(0, fixture.now), 2);
    cr_assert_eq(fixture.scheduler.targets().limit(0, fixture.now + Second * 2), 4);
    cr_assert_eq(fixture.scheduler.targets().limit(0, fixture.now + Second * 4), 8);
}

Test(scheduler, a_restart_without_notice_clears_the_expected_cache_contents)
{
    Fixture fixture(1);
    fixture.finish(fixture.expectDispatch(fixture.request(5)).id);
    fixture.now += Second;
    fixture.report(0, false, "another boot");
    cr_assert_eq(fixture.expectDispatch(fixture.request(5)).source.kind, SourceKind::Recompute);
}

Test(scheduler, several_late_first_tokens_mark_a_target_as_cold)
{
    Fixture fixture(1);
    for (int index = 0; index < 3; ++index) {
        const Dispatch dispatch = fixture.expectDispatch(fixture.request(static_cast<uint64_t>(index) * 100));
        fixture.now += Second * 4;
        fixture.report(0);
        fixture.finish(dispatch.id);
    }
    cr_assert_eq(fixture.scheduler.targets().limit(0, fixture.now), 2);
}

Test(scheduler, a_leaving_target_gets_no_new_requests)
{
    Fixture fixture(2);
    fixture.descriptions[0].availability = TargetAvailability::Leaving;
    fixture.scheduler.describeTarget(fixture.descriptions[0], fixture.now);
    for (int index = 0; index < 8; ++index) {
        cr_assert_eq(fixture.expectDispatch(fixture.request(static_cast<uint64_t>(index) * 100, Priority::Standard, 400)).target, 1);
    }
}

Test(scheduler, an_interactive_request_preempts_a_batch_one)
{
    Fixture fixture(1);
    std::set<RequestId> batch;
    for (int index = 0; index < 8; ++index) {
        const RequestInfo info = fixture.request(static_cast<uint64_t>(index) * 100, Priority::Batch);
        if (!fixture.commandsFor<Dispatch>(RequestArrived{info}).empty()) {
            batch.insert(info.id);
        }
    }
    cr_assert_eq(batch.size(), 7U, "one slot must be kept free of batch work");
    fixture.expectDispatch(fixture.request(5000, Priority::Interactive, 400));
    const RequestInfo urgent = fixture.request(6000, Priority::Interactive, 400);
    const std::vector<Preempt> preempted = fixture.commandsFor<Preempt>(RequestArrived{urgent});
    cr_assert_eq(preempted.size(), 1U);
    cr_assert_eq(batch.count(preempted[0].id), 1U);
    const std::vector<Dispatch> next = fixture.commandsFor<Dispatch>(AttemptEnded{preempted[0].id, AttemptOutcome::Preempted});
    cr_assert_eq(next.size(), 1U);
    cr_assert_eq(next[0].id, urgent.id);
}

Test(scheduler, a_batch_request_close_to_its_deadline_is_not_preempted_or_delayed)
{
    Fixture fixture(1);
    for (int index = 0; index < 8; ++index) {
        RequestInfo info = fixture.request(static_cast<uint64_t>(index) * 100, Priority::Batch, 400);
        info.finishDeadline = fixture.now + Second * 3;
        cr_assert_eq(fixture.commandsFor<Dispatch>(RequestArrived{info}).size(), 1U);
    }
    cr_assert(fixture.commandsFor<Preempt>(RequestArrived{fixture.request(9000, Priority::Interactive, 400)}).empty());
}

Test(scheduler, a_request_that_cannot_meet_its_deadline_is_refused_at_once_and_not_run)
{
    Fixture fixture(1);
    RequestInfo info = fixture.request(1, Priority::Interactive, 200'000);
    const std::vector<Refuse> refusals = fixture.commandsFor<Refuse>(RequestArrived{info});
    cr_assert_eq(refusals.size(), 1U);
    cr_assert_eq(refusals[0].error.kind, ErrorKind::DeadlineUnreachable);
    cr_assert(refusals[0].error.notRun);
}

Test(scheduler, suspects_run_apart_from_each_other)
{
    Fixture fixture(3);
    std::set<TargetIndex> used;
    for (int index = 0; index < 3; ++index) {
        RequestInfo info = fixture.request(static_cast<uint64_t>(index) * 100, Priority::Standard, 400);
        info.suspect = true;
        cr_assert(used.insert(fixture.expectDispatch(info).target).second);
    }
    RequestInfo fourth = fixture.request(900, Priority::Standard, 400);
    fourth.suspect = true;
    cr_assert(fixture.commandsFor<Dispatch>(RequestArrived{fourth}).empty());
}

Test(scheduler, only_the_failing_target_is_excluded_and_it_is_probed_later)
{
    Fixture fixture(2);
    for (int failures = 0; failures < 2; ++failures) {
        RequestInfo info = fixture.request(1, Priority::Standard, 400);
        info.excludedTargets = {1};
        fixture.scheduler.handle(AttemptEnded{fixture.expectDispatch(info).id, AttemptOutcome::TargetFailed}, fixture.now);
    }
    cr_assert_eq(fixture.scheduler.targets().usabilityOf(0, 0, fixture.now), TargetUsability::Excluded);
    cr_assert_eq(fixture.scheduler.targets().usabilityOf(1, 0, fixture.now), TargetUsability::Usable);
    fixture.now += Second * 2;
    fixture.report(0);
    fixture.report(1);
    RequestInfo probe = fixture.request(1, Priority::Standard, 400);
    probe.excludedTargets = {1};
    const Dispatch dispatch = fixture.expectDispatch(probe);
    // Only one probe is sent at a time.
    cr_assert_eq(fixture.scheduler.targets().usabilityOf(0, 0, fixture.now), TargetUsability::Excluded);
    fixture.finish(dispatch.id);
    cr_assert_eq(fixture.scheduler.targets().usabilityOf(0, 0, fixture.now), TargetUsability::Usable);
}

Test(scheduler, an_import_is_chosen_only_while_its_link_is_faster_than_computing)
{
    Fixture fixture(1);
    fixture.finish(fixture.expectDispatch(fixture.request(42, Priority::Standard, 24'000)).id);
    fixture.scheduler.handle(StoreCopyChanged{42, 0, Tier::Memory, 24'000}, fixture.now);
    fixture.now += Second;
    fixture.report(0, false, "another boot");
    fixture.scheduler.handle(LinkReported{0, Tier::Memory, Duration(0), 8e9, Duration(-1), true}, fixture.now);
    cr_assert_eq(fixture.expectDispatch(fixture.request(42, Priority::Standard, 24'000)).source.kind, SourceKind::StoreImport);
    fixture.now += Second;
    fixture.report(0, false, "a third boot");
    fixture.scheduler.handle(LinkReported{0, Tier::Memory, Second * 20, 8e9, Duration(-1), true}, fixture.now);
    cr_assert_eq(fixture.expectDispatch(fixture.request(42, Priority::Standard, 24'000)).source.kind, SourceKind::Recompute);
}

// Long random event sequences: no target exceeds its limit, every request is answered exactly once, and no request remains in
// the scheduler at the end.
Test(scheduler, under_random_events_limits_hold_and_every_request_is_answered)
{
    for (unsigned seed = 1; seed <= 30; ++seed) {
        std::mt19937 random(seed);
        Fixture fixture(4);
        std::set<RequestId> running;
        std::set<RequestId> unanswered;
        std::map<RequestId, RequestInfo> requests;
        const auto applyCommands = [&](const std::vector<Command> &commands) {
            for (const Command &command : commands) {
                if (const auto *dispatch = std::get_if<Dispatch>(&command)) {
                    cr_assert(running.insert(dispatch->id).second);
                    cr_assert_eq(unanswered.count(dispatch->id), 1U);
                } else if (const auto *refuse = std::get_if<Refuse>(&command)) {
                    cr_assert_eq(running.count(refuse->id), 0U);
                    cr_assert_eq(unanswered.erase(refuse->id), 1U, "answered twice");
                }
            }
        };
        for (int step = 0; step < 3000; ++step) {
            fixture.now += Milliseconds(random() % 50);
            const auto target = static_cast<TargetIndex>(random() % 4);
            const bool cold = random() % 10 == 0;
            switch (random() % 8) {
            case 0:
            case 1:
            case 2: {
                const RequestInfo info = fixture.request((random() % 40) * 100, static_cast<Priority>(random() % 3), 400 + random() % 20'000);
                unanswered.insert(info.id);
                requests[info.id] = info;
                applyCommands(fixture.scheduler.handle(RequestArrived{info}, fixture.now));
                break;
            }
            case 3:
                applyCommands(fixture.report(target, cold, random() % 20 == 0 ? std::to_string(step) : "b"));
                break;
            case 4:
                applyCommands(fixture.scheduler.handle(ClockTicked{}, fixture.now));
                break;
            default:
                if (!running.empty()) {
                    const RequestId id = *std::next(running.begin(), static_cast<long>(random() % running.size()));
                    running.erase(id);
                    const bool finished = random() % 5 != 0;
                    if (finished) {
                        unanswered.erase(id);
                    }
                    applyCommands(fixture.scheduler.handle(AttemptEnded{id, finished ? AttemptOutcome::Finished : AttemptOutcome::TargetFailed}, fixture.now));
                    if (!finished) {
                        applyCommands(fixture.scheduler.handle(RequestArrived{requests[id]}, fixture.now));
                    }
                }
                break;
            }
            for (TargetIndex index = 0; index < 4; ++index) {
                cr_assert_leq(fixture.scheduler.targets().at(index).inFlight, 8);
                cr_assert_geq(fixture.scheduler.targets().queuedTokens(index, Priority::Interactive), 0);
            }
        }
        while (!unanswered.empty()) {
            fixture.now += Second * 10;
            for (TargetIndex index = 0; index < 4; ++index) {
                applyCommands(fixture.report(index));
            }
            applyCommands(fixture.scheduler.handle(ClockTicked{}, fixture.now));
            while (!running.empty()) {
                const RequestId id = *running.begin();
                running.erase(id);
                unanswered.erase(id);
                applyCommands(fixture.scheduler.handle(AttemptEnded{id, AttemptOutcome::Finished}, fixture.now));
            }
            cr_assert_lt(toSeconds(fixture.now), 20'000, "seed %u: %zu requests stay unanswered, %zu wait, %s", seed, unanswered.size(),
                fixture.scheduler.waitingCount(), targetUsabilityName(fixture.scheduler.targets().usabilityOf(0, 1, fixture.now)));
        }
        cr_assert_eq(fixture.scheduler.runningCount(), 0U);
        cr_assert_eq(fixture.scheduler.waitingCount(), 0U);
    }
}

Test(link, an_urgent_import_waits_for_at_most_one_block)
{
    LinkScheduler link(1e9);
    link.submit({1, 10, 100'000'000, TransferClass::Background});
    cr_assert_eq(link.start()->id, 1U);
    link.submit({2, 2, 100'000'000, TransferClass::UrgentImport});
    cr_assert_not(link.start().has_value(), "only one block is transferred at a time");
    link.finishBlock();
    cr_assert_eq(link.start()->id, 2U);
    cr_assert_eq(link.expectedWait(TransferClass::UrgentImport).count(), 200'000);
    cr_assert_not(link.finishBlock().has_value());
    cr_assert_eq(link.start()->id, 2U);
    cr_assert_eq(*link.finishBlock(), 2U);
    cr_assert_eq(link.start()->id, 1U);
}

Test(store, the_copy_of_least_value_is_evicted_and_the_capacity_is_kept)
{
    StoreContents contents(1000, 0);
    const CopyValueFunction byKey = [](const StoredCopy &copy, Time) {
        return static_cast<double>(copy.promptKey);
    };
    for (uint64_t key = 1; key <= 10; ++key) {
        contents.admit({key, "t", 1, 100, Tier::Memory, Time(0), std::nullopt}, Second, byKey);
    }
    const StoreAdmission better = contents.admit({50, "t", 1, 100, Tier::Memory, Time(0), std::nullopt}, Second, byKey);
    cr_assert(better.admitted);
    cr_assert_eq(better.evicted.size(), 1U);
    cr_assert_eq(better.evicted[0].promptKey, 1U);
    cr_assert_not(contents.admit({0, "t", 1, 100, Tier::Memory, Time(0), std::nullopt}, Second, byKey).admitted);
    cr_assert_eq(contents.usedBytes(Tier::Memory), 1000);
}

Test(returns, return_gaps_are_recorded_for_each_team)
{
    ReturnModel model;
    for (int index = 0; index < 200; ++index) {
        model.addNew("quick");
        model.addGap("quick", Second * 60);
        model.addNew("slow");
        model.addGap("slow", Second * 7200);
    }
    const Duration tenMinutes = std::chrono::minutes(10);
    cr_assert_gt(model.returnProbability("quick", Duration(0), tenMinutes), 0.4);
    cr_assert_lt(model.returnProbability("slow", Duration(0), tenMinutes), 0.1);
    cr_assert_lt(model.returnProbability("quick", Second * 3600, tenMinutes), 0.1);
}
