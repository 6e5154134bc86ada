// A simulated deployment for the tests of this library: hosts with limiters, tables and reports, targets of two versions, a store and a decider, on a
// simulated time. It uses no network and no threads; all chances come from a seed.
//
//     Simulation simulation({.hosts = 3});
//     simulation.run();
//     cr_assert_eq(simulation.phase(), DeliveryPhase::Completed);
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "pimentosail/delivery/deliverypermission.h"
#include "pimentosail/delivery/deliveryplan.h"
#include "pimentosail/delivery/exposurelimiter.h"

namespace pimentosail
{

// What a simulated target does with a request.
struct SimulatedRequest
{
    bool isNew = false;
    std::string route;
    Time at{};
    // Requests per second that the target got in the last second, in parts of what it gets when all targets of a version share the load.
    double load = 0;
    // Drawn evenly from 0 to 1.
    double chance = 0;
};

struct SimulationOptions
{
    size_t hosts = 3;
    size_t oldTargets = 10;
    size_t newTargets = 10;
    double requestsPerSecond = 400;
    Duration duration = std::chrono::seconds(12);
    // Requests arrive until this long after the order.
    Duration length = std::chrono::seconds(14);
    uint64_t seed = 1;
    // Time after which a report arrives, and the share of reports that are lost.
    Duration reportDelay = Milliseconds(60);
    double reportLoss = 0;
    // The decider is lost at this time; another host takes over 3.3 s later with what the store has.
    std::optional<Duration> deciderLostAt;
    // The store refuses this host, which gets the state from others 0.4 s later.
    std::optional<size_t> refusedHost;
    // This host restarts at this time.
    std::optional<size_t> restartedHost;
    Duration restartAt{};
    // This host neither hears nor is heard from this time on.
    std::optional<size_t> partitionedHost;
    Duration partitionedAt{};
    // Returns whether the answer fails, and after which time it comes.
    std::function<VersionAnswer(const SimulatedRequest &)> answer = [](const SimulatedRequest &request) {
        return VersionAnswer{.isFailure = request.chance < 0.01, .firstEvent = fromSeconds(0.02 + 0.06 * std::fmod(request.chance * 7919, 1.0))};
    };
};

class Simulation
{
public:
    explicit Simulation(SimulationOptions simulationOptions)
        : options(std::move(simulationOptions))
        , random(this->options.seed)
    {
        this->order = *DeliveryOrder::make("chat", "v2", toSeconds(this->options.duration), {1, 7});
        for (size_t index = 0; index < this->options.hosts; ++index) {
            this->hosts.push_back(this->startHost());
        }
        for (size_t index = 0; index < this->options.oldTargets + this->options.newTargets; ++index) {
            this->targets.push_back({"t" + std::to_string(index), index >= this->options.oldTargets, 0, {}});
        }
    }

    void run()
    {
        constexpr Duration Step = Milliseconds(10);
        for (; this->now < this->options.length; this->now += Step) {
            while (!this->events.empty() && this->events.begin()->first <= this->now) {
                const std::function<void()> event = std::move(this->events.begin()->second);
                this->events.erase(this->events.begin());
                event();
            }
            if (this->options.restartedHost && this->now == this->options.restartAt) {
                this->hosts[*this->options.restartedHost] = this->startHost();
            }
            if (this->now % Milliseconds(50) == Duration(0)) {
                this->sendReports();
            }
            if (this->now % Milliseconds(100) == Duration(0)) {
                this->judge();
                this->decide();
            }
            std::poisson_distribution<int> arrivals(this->options.requestsPerSecond * toSeconds(Step));
            for (int count = arrivals(this->random); count > 0; --count) {
                this->sendRequest(this->random() % this->hosts.size());
            }
        }
    }

    DeliveryPhase phase() const
    {
        return this->stored ? this->stored->phase : DeliveryPhase::Waiting;
    }

    // Largest number of requests that a bad version may get.
    double allowed() const
    {
        return 0.1 * static_cast<double>(this->requestsBeforeDeadline) + 50;
    }

    size_t relayCount() const
    {
        return this->hosts.size() <= 10 ? 0 : std::max<size_t>(4, this->hosts.size() / 12);
    }

    // State that the store has.
    std::optional<DeliveryState> stored;
    // When the phase was written first, by phase.
    std::map<DeliveryPhase, Time> phaseTimes;
    int64_t requestsBeforeDeadline = 0;
    int64_t watchedRequests = 0;
    // Sum of the share at the time over the watched requests.
    double watchedShares = 0;
    int64_t sentToNew = 0;
    int64_t sentToNewWhileWatched = 0;
    int64_t refused = 0;
    int64_t badAnswers = 0;
    // When the 50th bad answer came, and the last request of a host that is not partitioned was sent to the new version.
    std::optional<Time> fiftiethBad;
    Time lastSentToNew{};
    // What the partitioned host sent to the new version after the limit of 2 s.
    int64_t sentWhileIsolated = 0;
    // Requests that still ran on old targets when the state became `Completed`.
    int64_t oldRunsAtCompletion = 0;
    // The new targets that got requests while they were watched.
    std::set<std::string> watchedTargets;

private:
    struct Host
    {
        VersionOutcomeTable table;
        EvidenceWindows windows{"chat", "v2"};
        ExposureLimiter limiter;
        DeliveryView view;
        uint64_t process;
        uint64_t sequence = 0;
        // By follower: the last report that this relay has.
        std::map<size_t, uint64_t> included;
        Evidence evidence;

        explicit Host(uint64_t processId)
            : table(processId)
            , process(processId)
        {
        }
    };
    struct Target
    {
        std::string id;
        bool isNew = false;
        int64_t runs = 0;
        std::deque<Time> sent;
    };

    std::shared_ptr<Host> startHost()
    {
        auto host = std::make_shared<Host>(this->random());
        host->table.begin(this->order);
        host->view.order = this->order;
        host->view.state = this->stored;
        return host;
    }

    void later(Duration delay, std::function<void()> event)
    {
        this->events.emplace(this->now + delay, std::move(event));
    }

    bool isPartitioned(size_t index, Duration since = Duration(0)) const
    {
        return this->options.partitionedHost == index && this->now >= this->options.partitionedAt + since;
    }

    double draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    void deliver(size_t from, size_t to, const std::function<void(Host &)> &event)
    {
        if (this->isPartitioned(from) || this->isPartitioned(to) || this->draw() < this->options.reportLoss) {
            return;
        }
        this->later(this->options.reportDelay, [this, to, event] { event(*this->hosts[to]); });
    }

    void sendReports()
    {
        const size_t relays = this->relayCount();
        for (size_t from = 0; from < this->hosts.size(); ++from) {
            Host &host = *this->hosts[from];
            const uint64_t sequence = ++host.sequence;
            const std::string name = "host" + std::to_string(from);
            if (relays == 0) {
                this->broadcast(from, this->hosts.size(), OutcomeSource::Direct, sequence, host.table.ownReport("", sequence));
            } else if (from < relays) {
                this->broadcast(from, relays, OutcomeSource::Group, sequence, host.table.groupReport());
                this->sendTotals(from);
            } else {
                const size_t relay = from % relays;
                const OutcomeReport report = host.table.ownReport(this->receiverName(relay), sequence);
                this->deliver(from, relay, [from, name, sequence, report](Host &to) {
                    to.table.recordReport(OutcomeSource::Follower, name, report.stream, sequence, report.rows);
                    to.included[from] = sequence;
                });
            }
        }
    }

    std::string receiverName(size_t relay) const
    {
        return "host" + std::to_string(relay) + "/" + std::to_string(this->hosts[relay]->process);
    }

    void broadcast(size_t from, size_t count, OutcomeSource source, uint64_t sequence, const OutcomeReport &report)
    {
        const std::string name = "host" + std::to_string(from);
        for (size_t to = 0; to < count; ++to) {
            if (to != from) {
                this->deliver(from, to, [=](Host &host) { host.table.recordReport(source, name, report.stream, sequence, report.rows); });
            }
        }
    }

    void sendTotals(size_t relay)
    {
        const std::vector<OutcomeRow> totals = this->hosts[relay]->table.totals();
        for (size_t to = this->relayCount(); to < this->hosts.size(); ++to) {
            if (to % this->relayCount() == relay) {
                const auto found = this->hosts[relay]->included.find(to);
                const uint64_t sequence = found == this->hosts[relay]->included.end() ? 0 : found->second;
                this->deliver(relay, to, [name = this->receiverName(relay), totals, sequence](Host &host) {
                    host.table.acknowledge(name, sequence);
                    host.table.recordTotals(totals);
                });
            }
        }
    }

    void judge()
    {
        for (size_t index = 0; index < this->hosts.size(); ++index) {
            Host &host = *this->hosts[index];
            host.windows.record(host.table.totals(), this->now);
            host.evidence = host.windows.judge(host.view.state ? host.view.state->phase : DeliveryPhase::Waiting);
            host.view.isStopped = host.evidence.verdict == EvidenceVerdict::Bad;
            host.view.isIsolated = this->isPartitioned(index, IsolationLimit);
        }
    }

    void decide()
    {
        // Host 0 decides first, and after its loss host 1, which continues with the state in the store as it reads it.
        const bool isLost = this->options.deciderLostAt && this->now >= *this->options.deciderLostAt;
        if (isLost && this->now < *this->options.deciderLostAt + Milliseconds(3300)) {
            return;
        }
        if (this->stored) {
            this->stored = *decodeDeliveryState(encodeDeliveryState(*this->stored));
        }
        DeliveryInput input{.previous = this->stored, .order = this->order, .evidence = this->hosts[isLost ? 1 : 0]->evidence, .elapsed = this->now};
        for (const Target &target : this->targets) {
            input.targets.push_back({target.id, target.isNew ? "v2" : "v1", false, target.runs});
        }
        const DeliveryPhase before = this->phase();
        const DeliveryStep step = planDelivery(input, {.exposureSlack = 50});
        if (!step.mustWrite) {
            return;
        }
        this->stored = step.state;
        if (before != this->phase() || this->phaseTimes.empty()) {
            this->phaseTimes.try_emplace(this->phase(), this->now);
        }
        if (before != DeliveryPhase::Completed && this->phase() == DeliveryPhase::Completed) {
            for (const Target &target : this->targets) {
                this->oldRunsAtCompletion += target.isNew ? 0 : target.runs;
            }
        }
        for (size_t index = 0; index < this->hosts.size(); ++index) {
            if (!this->isPartitioned(index)) {
                this->later(Milliseconds(this->options.refusedHost == index ? 400 : 60), [this, index, state = step.state] {
                    Host &host = *this->hosts[index];
                    host.view.state = state;
                    host.limiter.setShare("chat", needsDraw(host.view) ? state->share : 0);
                });
            }
        }
    }

    void sendRequest(size_t index)
    {
        Host &host = *this->hosts[index];
        this->requestsBeforeDeadline += this->now < this->options.duration ? 1 : 0;
        const bool isWatched = needsDraw(host.view);
        this->watchedRequests += isWatched ? 1 : 0;
        this->watchedShares += isWatched ? host.view.state->share : 0;
        const bool isDrawn = isWatched && host.limiter.mayUseNewVersion("chat");
        std::vector<Target *> allowedTargets;
        std::vector<Target *> preferred;
        for (Target &target : this->targets) {
            const DeliveryDecision decision = checkDelivery(host.view, target.isNew ? "v2" : "v1", target.id, isDrawn);
            if (decision.isAllowed()) {
                (decision.isPreferred ? preferred : allowedTargets).push_back(&target);
            }
        }
        const std::vector<Target *> &candidates = preferred.empty() ? allowedTargets : preferred;
        if (candidates.empty()) {
            ++this->refused;
            return;
        }
        this->startRun(index, *candidates[this->random() % candidates.size()], isWatched);
    }

    void startRun(size_t index, Target &target, bool isWatched)
    {
        if (target.isNew) {
            ++this->sentToNew;
            if (isWatched) {
                ++this->sentToNewWhileWatched;
                this->watchedTargets.insert(target.id);
            }
            if (!this->isPartitioned(index)) {
                this->lastSentToNew = this->now;
            } else if (this->isPartitioned(index, IsolationLimit + Milliseconds(100))) {
                ++this->sentWhileIsolated;
            }
        }
        target.sent.push_back(this->now);
        while (target.sent.front() + std::chrono::seconds(1) < this->now) {
            target.sent.pop_front();
        }
        const double fullLoad = this->options.requestsPerSecond / static_cast<double>(this->options.newTargets);
        const double chance = this->draw();
        const std::string route = chance < 0.05 ? "/rare" : chance < 0.4 ? "/second" : "/first";
        const VersionAnswer answer = this->options.answer({target.isNew, route, this->now, static_cast<double>(target.sent.size()) / fullLoad, this->draw()});
        ++target.runs;
        this->later(answer.firstEvent, [this, host = this->hosts[index], &target, route, answer] {
            --target.runs;
            host->table.recordAnswer({"chat", target.isNew ? "v2" : "v1", route}, answer);
            if (target.isNew && (answer.isFailure || answer.firstEvent > Milliseconds(150))) {
                if (++this->badAnswers == 50) {
                    this->fiftiethBad = this->now;
                }
            }
        });
    }

    SimulationOptions options;
    std::mt19937_64 random;
    DeliveryOrder order;
    std::vector<std::shared_ptr<Host>> hosts;
    std::vector<Target> targets;
    std::multimap<Time, std::function<void()>> events;
    Time now{};
};

} // namespace pimentosail
