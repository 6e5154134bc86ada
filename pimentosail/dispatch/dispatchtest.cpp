#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <map>
#include <thread>

#include <criterion/criterion.h>

#include "pimentosail/base/hash.h"
#include "pimentosail/dispatch/blockquarantine.h"
#include "pimentosail/dispatch/limits.h"
#include "pimentosail/dispatch/picker.h"
#include "pimentosail/dispatch/quarantine.h"

using namespace pimentosail;

namespace
{

Candidate makeCandidate(const std::string &id, int64_t version = 1, const std::string &zone = "z1")
{
    Candidate candidate;
    candidate.target = std::make_shared<TargetState>();
    candidate.target->id = id;
    candidate.target->zone = zone;
    candidate.target->slots = 6;
    candidate.version = version;
    return candidate;
}

struct PausedClock : Clock
{
    PausedClock()
    {
        this->pause();
    }
};

PickQuery makePrompt(const std::string &block)
{
    PickQuery query;
    query.affinity = block;
    query.affinityTokens = 5000;
    query.draw = 1;
    return query;
}

} // namespace

Test(dispatch, a_prompt_goes_to_its_preferred_target_until_that_is_much_busier)
{
    std::vector<Candidate> candidates{makeCandidate("a"), makeCandidate("b"), makeCandidate("c")};
    const std::optional<TargetChoice> first = pickTarget(makePrompt("session"), candidates);
    cr_assert(first && first->isPreferred);
    for (uint64_t draw = 1; draw < 40; ++draw) {
        PickQuery query = makePrompt("session");
        query.draw = draw;
        cr_assert_eq(pickTarget(query, candidates)->target->id, first->target->id);
    }
    for (Candidate &candidate : candidates) {
        candidate.pendingTokens = candidate.target == first->target ? 50000 : 0;
    }
    cr_assert_neq(pickTarget(makePrompt("session"), candidates)->target->id, first->target->id);
}

Test(dispatch, newer_weights_are_preferred_until_they_are_much_busier)
{
    std::vector<Candidate> candidates{makeCandidate("old", 1), makeCandidate("new", 2)};
    PickQuery query = makePrompt("session");
    query.newestVersion = 2;
    cr_assert_eq(pickTarget(query, candidates)->target->id, "new");
    candidates[1].pendingTokens = 60000;
    cr_assert_eq(pickTarget(query, candidates)->target->id, "old");
    query.oldestVersion = 2;
    cr_assert_eq(pickTarget(query, candidates)->target->id, "new", "past the limit no work begins on older weights");
}

Test(dispatch, a_failing_target_gets_only_occasional_probes)
{
    std::vector<Candidate> candidates{makeCandidate("good"), makeCandidate("bad")};
    candidates[1].target->failurePermille.store(500);
    candidates[0].requests = 5;
    int bad = 0;
    for (uint64_t draw = 0; draw < 500; ++draw) {
        PickQuery query;
        query.localZone = "z1";
        query.draw = draw;
        bad += pickTarget(query, candidates)->target->id == "bad" ? 1 : 0;
    }
    cr_assert_eq(bad, 10);
}

Test(dispatch, targets_that_were_tried_or_are_at_their_limit_are_excluded)
{
    std::vector<Candidate> candidates{makeCandidate("a"), makeCandidate("b")};
    PickQuery query;
    query.triedTargets = {"a"};
    candidates[1].isAtLimit = true;
    cr_assert_not(pickTarget(query, candidates).has_value());
}

Test(dispatch, retries_of_all_hosts_together_stay_within_the_bounds)
{
    PausedClock clock;
    const SharedRetryBounds bounds{0.2, 52, std::chrono::seconds(10)};
    constexpr int Hosts = 6;
    std::vector<std::unique_ptr<SharedRetryBudget>> budgets;
    budgets.reserve(Hosts);
    for (int host = 0; host < Hosts; ++host) {
        budgets.push_back(std::make_unique<SharedRetryBudget>(clock, bounds));
    }
    int retries = 0;
    int firstSends = 0;
    for (int step = 0; step < 900; ++step) {
        budgets[static_cast<size_t>(step % Hosts)]->recordFirstSend("desk");
        ++firstSends;
        for (int attempt = 0; attempt < 3; ++attempt) {
            retries += budgets[static_cast<size_t>(step % Hosts)]->tryAcquire("desk", Hosts) ? 1 : 0;
        }
        clock.advance(Milliseconds(10));
    }
    cr_assert_leq(retries, static_cast<int>(bounds.ratio * firstSends + bounds.extra));
    cr_assert_gt(retries, 100, "most of the bounds can be used");
}

Test(dispatch, shares_of_a_cold_target_add_up_to_at_most_its_limit)
{
    for (const size_t count : {1U, 6U, 17U, 18U, 75U, 410U}) {
        std::vector<std::string> hosts;
        for (size_t index = 0; index < count; ++index) {
            hosts.push_back("host-" + std::to_string(index));
        }
        for (const std::string target : {"a", "b", "c"}) {
            int total = 0;
            for (const std::string &host : hosts) {
                total += coldShare(17, target, host, hosts).count;
            }
            cr_assert_leq(total, 17, "%zu hosts sent %d", count, total);
            cr_assert_geq(total, 9, "%zu hosts used only %d", count, total);
        }
    }
}

Test(dispatch, a_cold_share_holds_in_any_period_of_a_second)
{
    PausedClock clock;
    TargetSendLimiter limiter(clock);
    const std::vector<SendShare> shares{coldShare(3, "a", "host-1", {"host-1"})};
    std::vector<Time> sent;
    for (int step = 0; step < 500; ++step) {
        if (limiter.tryAcquire("a", shares)) {
            sent.push_back(clock.now());
        }
        clock.advance(Milliseconds(10));
    }
    for (size_t index = 3; index < sent.size(); ++index) {
        cr_assert(sent[index] - sent[index - 3] >= std::chrono::seconds(1));
    }
}

// Guards against hosts that together send a target more than the rate that it named, because each may send at least one request:
// in any 4 s the rules allow one and a half times the rate and 5 requests.
Test(dispatch, shares_of_a_named_rate_keep_to_its_bound_and_use_it)
{
    constexpr double Seconds = 4;
    for (const size_t hostCount : {1U, 2U, 3U, 6U, 7U, 17U, 67U, 75U, 410U}) {
        std::vector<std::string> hosts;
        for (size_t index = 0; index < hostCount; ++index) {
            hosts.push_back("host-" + std::to_string(index));
        }
        for (const double rate : {0.0, 0.1, 0.25, 0.5, 1.0, 1.3, 2.0, 2.7, 3.3, 5.0, 9.9, 30.0, 101.0, 1000.0, 1e300}) {
            double most = 0;
            double perSecond = 0;
            for (const std::string &host : hosts) {
                const SendShare share = RateShares("desk", host, hosts, hostCount, {"a", "b", "c", "d"}).shareOf("c", rate);
                if (share.count > 0) {
                    const double period = toSeconds(share.period);
                    most += share.count * std::ceil(Seconds / period);
                    perSecond += share.count / period;
                }
            }
            cr_assert_leq(most, 1.5 * rate * Seconds + 5, "rate %g, %zu hosts: %g requests", rate, hostCount, most);
            if (rate >= 0.25 && rate <= 1000) {
                cr_assert_geq(
                    perSecond, std::min(rate, 400.0 * static_cast<double>(hostCount)) * 0.99, "rate %g, %zu hosts use %g", rate, hostCount, perSecond);
            }
        }
    }
}

// Guards against hosts that have no share of any target, so that their callers are refused while those of other hosts are served.
Test(dispatch, every_host_has_a_share_of_a_target_if_the_rates_suffice)
{
    std::vector<std::string> hosts;
    hosts.reserve(67);
    for (int index = 0; index < 67; ++index) {
        hosts.push_back("host-" + std::to_string(index));
    }
    const std::vector<std::string> targets{"a", "b", "c", "d"};
    for (const std::string &host : hosts) {
        const RateShares shares("desk", host, hosts, hosts.size(), targets);
        const auto count = std::count_if(targets.begin(), targets.end(), [&shares](const std::string &target) { return shares.shareOf(target, 12).count > 0; });
        cr_assert_geq(count, 1, "%s", host.c_str());
        cr_assert_leq(count, 2, "%s", host.c_str());
    }
    cr_assert_eq(RateShares("desk", "not-listed", hosts, hosts.size(), targets).shareOf("a", 1000).count, 0);
}

Test(dispatch, a_request_is_blocked_after_three_targets_ended_while_running_it)
{
    PausedClock clock;
    Quarantine first(clock);
    Quarantine second(clock);
    first.recordLoss(7, "a/1");
    first.recordLoss(7, "a/1");
    first.recordLoss(7, "b/1");
    cr_assert_not(first.isBlocked(7));
    second.recordLoss(7, "c/1");
    first.merge(second.ownLosses(), second.soundRequests());
    cr_assert(first.isBlocked(7));
    cr_assert_not(first.isBlocked(8));
    second.merge(first.ownLosses(), first.soundRequests());
    cr_assert(second.isBlocked(7));
}

// Guards against a host that publishes no more observations once its list is full, because the list's size stays the same.
Test(dispatch, an_observation_is_published_although_the_list_is_full)
{
    PausedClock clock;
    Quarantine quarantine(clock);
    for (uint64_t request = 0; request < 300; ++request) {
        const uint64_t before = quarantine.changeCount();
        quarantine.recordLoss(request, "a/1");
        cr_assert_gt(quarantine.changeCount(), before, "loss %lu", static_cast<unsigned long>(request));
        cr_assert_eq(quarantine.ownLosses().back().first, request);
    }
    const uint64_t before = quarantine.changeCount();
    quarantine.recordLoss(299, "a/1");
    cr_assert_eq(quarantine.changeCount(), before, "the loss is known");
}

// Guards against evidence by whole requests: no two of the requests with a block that ends targets are alike.
Test(dispatch, a_prompt_block_is_blocked_after_three_targets_ended_under_different_requests_with_it)
{
    BlockQuarantine first;
    BlockQuarantine second;
    first.recordAnswer({"common", "own"});
    first.recordLoss({"common", "deadly"}, "a/1", 1);
    first.recordLoss({"common", "deadly"}, "a/1", 1);
    first.recordLoss({"common", "deadly"}, "b/1", 1);
    cr_assert(first.isSuspected({"common", "deadly"}));
    cr_assert_not(first.isBlocked({"common", "deadly"}));
    second.recordLoss({"common", "deadly"}, "c/1", 2);
    first.replaceFindings({{"second", second.ownFindings()}});
    second.replaceFindings({{"first", first.ownFindings()}});
    // The second host has not seen an answer with the common block, but learns of it.
    for (const BlockQuarantine *quarantine : {&first, &second}) {
        cr_assert(quarantine->isBlocked({"common", "deadly"}));
        cr_assert(quarantine->isBlocked({"other", "deadly"}));
        cr_assert_not(quarantine->isBlocked({"common"}));
        cr_assert_not(quarantine->isBlocked({"common", "own"}));
    }
    // A host that starts again knows what it published, and does not erase it by its next loss.
    BlockQuarantine restarted;
    restarted.restore(first.ownFindings());
    restarted.recordLoss({"deadly"}, "d/1", 3);
    second.replaceFindings({{"first", restarted.ownFindings()}});
    cr_assert(second.isBlocked({"common", "deadly"}));
}

// Guards against the blame of blocks that only ran beside a deadly one, and of requests sent again.
Test(dispatch, a_prompt_block_is_not_blocked_for_ends_that_another_block_explains)
{
    BlockQuarantine quarantine;
    for (const std::string incarnation : {"a/1", "b/1", "c/1", "d/1"}) {
        const uint64_t request = stableHash(incarnation);
        quarantine.recordLoss({"beside"}, incarnation, 1000 + request);
        // The same caller's block is in all requests with the deadly one.
        quarantine.recordLoss({"opening", "deadly"}, incarnation, request);
    }
    quarantine.recordLoss({"other", "deadly"}, "e/1", 5);
    cr_assert(quarantine.isBlocked({"opening", "deadly"}));
    cr_assert_not(quarantine.isBlocked({"opening"}));
    cr_assert_not(quarantine.isBlocked({"beside"}));
    // One request on three targets is judged as a request.
    for (const std::string incarnation : {"f/1", "g/1", "h/1"}) {
        quarantine.recordLoss({"retried"}, incarnation, 77);
    }
    cr_assert_not(quarantine.isBlocked({"retried"}));
    // Targets that end together for another reason: an answer elsewhere proves the block to be sound, also afterwards.
    for (const std::string incarnation : {"i/1", "j/1", "k/1"}) {
        quarantine.recordLoss({"popular"}, incarnation, stableHash(incarnation));
    }
    cr_assert(quarantine.isBlocked({"popular"}));
    BlockFindings other;
    other.answered = {"popular"};
    quarantine.replaceFindings({{"other", other}});
    cr_assert_not(quarantine.isBlocked({"popular"}));
}

// Blocks that cannot be told apart are refused only together, so that a sound request shows which one is sound.
Test(dispatch, prompt_blocks_with_the_same_evidence_are_refused_only_together)
{
    BlockQuarantine quarantine;
    for (const std::string incarnation : {"a/1", "b/1", "c/1"}) {
        quarantine.recordLoss({"opening", "deadly"}, incarnation, stableHash(incarnation));
    }
    cr_assert(quarantine.isBlocked({"opening", "deadly"}));
    cr_assert_not(quarantine.isBlocked({"opening"}));
    cr_assert_not(quarantine.isBlocked({"deadly"}));
    quarantine.recordAnswer({"opening"});
    cr_assert(quarantine.isBlocked({"deadly"}));
    cr_assert(quarantine.isBlocked({"opening", "deadly"}));
}

// Guards against a full list that drops the evidence for a deadly block in favour of blocks that only ran beside it.
Test(dispatch, evidence_against_a_deadly_block_is_kept_when_the_list_is_full)
{
    BlockQuarantine quarantine;
    for (uint64_t loss = 0; loss < 1000; ++loss) {
        const std::string incarnation = std::to_string(loss / 100) + "/1";
        if (loss < 300 && loss % 100 == 0) {
            quarantine.recordLoss({"deadly"}, incarnation, loss);
        }
        const uint64_t before = quarantine.changeCount();
        quarantine.recordLoss({"beside-" + std::to_string(loss)}, incarnation, 10000 + loss);
        cr_assert_gt(quarantine.changeCount(), before);
    }
    cr_assert_leq(quarantine.ownFindings().losses.size(), 256);
    cr_assert(quarantine.isBlocked({"deadly"}));
}

// Guards against a full list of losses that drops each new one, so that a block can end targets without end.
Test(dispatch, a_full_list_of_losses_accepts_evidence_against_another_block)
{
    BlockQuarantine quarantine;
    for (int block = 0; block < 128; ++block) {
        for (uint64_t request = 0; request < 2; ++request) {
            quarantine.recordLoss({"other-" + std::to_string(block)}, "busy-" + std::to_string(block / 40), 10 * block + request);
        }
    }
    for (uint64_t end = 0; end < 3; ++end) {
        quarantine.recordLoss({"deadly"}, "target-" + std::to_string(end), 5000 + end);
    }
    cr_assert(quarantine.isBlocked({"deadly"}));
}

// Guards against a block that is in force and is lifted because each host saw only one of its losses and then many others.
Test(dispatch, a_prompt_block_stays_blocked_when_each_host_saw_one_of_its_losses_and_many_others)
{
    std::array<BlockQuarantine, 3> hosts;
    const auto exchangeFindings = [&hosts] {
        for (size_t from = 0; from < hosts.size(); ++from) {
            for (size_t to = 0; to < hosts.size(); ++to) {
                if (to != from) {
                    hosts[to].replaceFindings({{"host-" + std::to_string(from), hosts[from].ownFindings()}});
                }
            }
        }
    };
    for (size_t host = 0; host < hosts.size(); ++host) {
        hosts[host].recordLoss({"deadly"}, "target-" + std::to_string(host), host);
    }
    exchangeFindings();
    for (size_t host = 0; host < hosts.size(); ++host) {
        for (int loss = 0; loss < 300; ++loss) {
            const std::string name = std::to_string(host) + "-" + std::to_string(loss);
            hosts[host].recordLoss({"block-" + name}, "busy-" + std::to_string(host), 1000 + loss);
        }
    }
    exchangeFindings();
    for (const BlockQuarantine &host : hosts) {
        cr_assert(host.isBlocked({"deadly"}));
    }
}

// Guards against hosts that publish their findings again and again in answer to each other's, although nothing new happens.
Test(dispatch, hosts_stop_publishing_findings_when_nothing_new_happens)
{
    constexpr int LossesPerHost = 150;
    std::array<BlockQuarantine, 3> hosts;
    std::array<uint64_t, 3> published{};
    for (size_t host = 0; host < hosts.size(); ++host) {
        for (int loss = 0; loss < LossesPerHost; ++loss) {
            const std::string block = "block-" + std::to_string(host) + "-" + std::to_string(loss);
            hosts[host].recordLoss({block}, "target-" + std::to_string(loss / 30), loss);
            hosts[(host + 1) % 3].recordAnswer({block});
            hosts[(host + 2) % 3].recordAnswer({block});
        }
    }
    int lastRound = 0;
    for (int round = 0; round < 20; ++round) {
        for (size_t host = 0; host < hosts.size(); ++host) {
            if (hosts[host].changeCount() == published[host]) {
                continue;
            }
            published[host] = hosts[host].changeCount();
            lastRound = round;
            const BlockFindings findings = hosts[host].ownFindings();
            hosts[host].restore(findings);
            hosts[(host + 1) % 3].replaceFindings({{"host-" + std::to_string(host), findings}});
            hosts[(host + 2) % 3].replaceFindings({{"host-" + std::to_string(host), findings}});
        }
    }
    cr_assert_leq(lastRound, 5, "the last round with a publication is %d", lastRound);
    for (const BlockQuarantine &host : hosts) {
        cr_assert(host.suspects().empty());
    }
}

// Many hosts choose at the same time by the same load reports. Without sampling, all would choose the least loaded target.
Test(dispatch, hosts_with_the_same_load_reports_do_not_all_choose_the_same_target)
{
    std::vector<Candidate> candidates;
    for (int index = 0; index < 30; ++index) {
        candidates.push_back(makeCandidate("t" + std::to_string(index)));
        candidates.back().pendingTokens = 1000 * index;
    }
    std::map<std::string, int> chosen;
    constexpr int Requests = 600;
    for (int request = 0; request < Requests; ++request) {
        PickQuery query = makePrompt("part-" + std::to_string(request));
        query.affinityTokens = 0;
        query.sampleSize = 3;
        query.draw = stableHash(std::to_string(request));
        ++chosen[pickTarget(query, candidates)->target->id];
    }
    for (const auto &[id, count] : chosen) {
        cr_assert_leq(count, Requests / 5, "%s was chosen %d times", id.c_str(), count);
    }
    cr_assert_eq(chosen["t29"], 0, "the busiest is never the best of three");
}

// Each long prompt needs about a sixth of an engine's cache memory. A prompt that does not fit makes the engine preempt
// another run in the middle of its answer.
Test(dispatch, a_prompt_goes_to_a_target_whose_memory_it_fits)
{
    std::vector<Candidate> candidates{makeCandidate("full"), makeCandidate("busy")};
    for (Candidate &candidate : candidates) {
        candidate.capacityTokens = 48000;
        candidate.maxRuns = 12;
    }
    candidates[0].heldTokens = 45000;
    candidates[1].pendingTokens = 6000;
    PickQuery query = makePrompt("session");
    query.affinityTokens = 0;
    query.heldTokens = 9000;
    cr_assert_eq(pickTarget(query, candidates)->target->id, "busy");
    candidates[0].heldTokens = 20000;
    cr_assert_eq(pickTarget(query, candidates)->target->id, "full");
    candidates[0].requests = 16;
    cr_assert_eq(pickTarget(query, candidates)->target->id, "busy", "runs beyond the engine's number wait");
}

// Load: 67 hosts publish 256 losses each at once. Guards against requests that wait while the findings of all hosts are evaluated,
// and against one evaluation for each host.
Test(quarantine, requests_do_not_wait_while_the_findings_of_many_hosts_are_evaluated)
{
    BlockQuarantine quarantine;
    std::map<std::string, BlockFindings> findings;
    for (int host = 0; host < 67; ++host) {
        BlockFindings &own = findings["host-" + std::to_string(host)];
        for (int loss = 0; loss < 256; ++loss) {
            own.losses.push_back(
                {"block-" + std::to_string(loss), "i-" + std::to_string(host) + "-" + std::to_string(loss % 40), static_cast<uint64_t>(1000 * host + loss)});
        }
    }
    std::atomic<bool> isDone{false};
    std::atomic<int64_t> asked{0};
    std::thread asking([&quarantine, &isDone, &asked] {
        while (!isDone.load()) {
            quarantine.isBlocked({"unknown"});
            ++asked;
        }
    });
    while (asked.load() == 0) {
        std::this_thread::yield();
    }
    // The findings arrive again and again; requests go on asking meanwhile. One that had to wait would be answered a few times only,
    // before the evaluation begins.
    constexpr int64_t ManyAnswers = 5000;
    int64_t rounds = 0;
    for (int round = 0; round < 20; ++round) {
        const int64_t before = asked.load();
        quarantine.replaceFindings(findings);
        rounds += asked.load() > before + ManyAnswers ? 1 : 0;
    }
    isDone.store(true);
    asking.join();
    cr_assert_geq(rounds, 5, "requests were answered during %ld of 20 evaluations", static_cast<long>(rounds));
    cr_assert(quarantine.isBlocked({"block-1", "block-41", "block-81", "block-121", "block-161", "block-201", "block-241"}));
}

// Guards against a sound request that all hosts refuse for good because targets crashed for other reasons while they ran it among others.
Test(quarantine, a_request_that_was_answered_once_is_never_blocked)
{
    PausedClock clock;
    for (const int answerAfter : {0, 1, 3}) {
        Quarantine first(clock);
        Quarantine second(clock);
        for (int loss = 0; loss < 5; ++loss) {
            if (loss == answerAfter) {
                first.recordAnswer(7);
            }
            first.recordLoss(7, "a/" + std::to_string(loss));
        }
        cr_assert_not(first.isBlocked(7), "answered after %d losses", answerAfter);
        second.merge(first.ownLosses(), first.soundRequests());
        cr_assert_not(second.isBlocked(7), "another host");
        Quarantine restarted(clock);
        restarted.merge(second.ownLosses(), second.soundRequests());
        second.recordLoss(7, "b/1");
        restarted.merge(second.ownLosses(), second.soundRequests());
        cr_assert_not(restarted.isBlocked(7), "a host that starts later");
    }
}

// Guards against observations that are published anew, to all hosts, for each request that was lost once and answered by another target.
Test(quarantine, a_sound_request_is_published_only_when_it_is_near_to_being_blocked)
{
    PausedClock clock;
    Quarantine quarantine(clock);
    quarantine.recordLoss(7, "a/1");
    const uint64_t changes = quarantine.changeCount();
    quarantine.recordAnswer(7);
    quarantine.recordAnswer(7);
    cr_assert_eq(quarantine.changeCount(), changes);
    cr_assert(quarantine.soundRequests().empty());
    quarantine.recordLoss(7, "b/1");
    cr_assert_eq(quarantine.soundRequests().size(), 1);
    const uint64_t published = quarantine.changeCount();
    quarantine.recordAnswer(7);
    quarantine.merge({{7, "c/1"}}, {7});
    cr_assert_eq(quarantine.changeCount(), published);
}

// Guards against a request that ends each target which runs it and goes on doing so because others were answered.
Test(quarantine, a_request_that_was_never_answered_stays_blocked)
{
    PausedClock clock;
    Quarantine quarantine(clock);
    for (uint64_t other = 100; other < 20000; ++other) {
        quarantine.recordAnswer(other);
    }
    for (int loss = 0; loss < 3; ++loss) {
        cr_assert_not(quarantine.isBlocked(7));
        quarantine.recordLoss(7, "a/" + std::to_string(loss));
    }
    quarantine.recordAnswer(8);
    cr_assert(quarantine.isBlocked(7));
    clock.advance(std::chrono::minutes(30));
    cr_assert(quarantine.isBlocked(7));
}
