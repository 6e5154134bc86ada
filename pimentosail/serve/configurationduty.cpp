#include "pimentosail/serve/configurationduty.h"

#include <algorithm>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/statelog.h"

namespace pimentosail
{

namespace
{

constexpr const char *ConfigurationKey = "configuration/current";
// A watch that is silent for this long is checked by a read and opened anew.
constexpr Duration WatchLife = std::chrono::seconds(3);
constexpr Duration PollInterval = std::chrono::seconds(20);
// Peers up to which every host polls once in each interval.
constexpr int64_t PollingPeers = 8;
constexpr Duration FirstPollInterval = Milliseconds(500);
constexpr Duration StepInterval = Milliseconds(250);

} // namespace

ConfigurationDuty::ConfigurationDuty(Clock &runtimeClock, KeyValueStore keyValueStore, ConfigurationHooks configurationHooks)
    : clock(runtimeClock)
    , store(std::move(keyValueStore))
    , hooks(std::move(configurationHooks))
    , storeReader("configuration-store", [this] { this->runStoreReader(); })
    , peerReader("configuration-peers", [this] { this->runPeerReader(); })
{
}

void ConfigurationDuty::start()
{
    this->storeReader.start();
    this->peerReader.start();
}

void ConfigurationDuty::stop()
{
    this->stopping.store(true);
    this->rumours.close();
    this->storeReader.join();
    this->peerReader.join();
}

ConfigurationPointer ConfigurationDuty::current() const
{
    const std::lock_guard lock(this->mutex);
    return this->configuration;
}

std::string ConfigurationDuty::lastRefusal() const
{
    const std::lock_guard lock(this->mutex);
    return this->refusal;
}

void ConfigurationDuty::offer(const std::string &document, const std::string &source)
{
    Result<Configuration> next = Configuration::fromDocument(document);
    ConfigurationPointer accepted;
    {
        const std::lock_guard lock(this->mutex);
        if (!next) {
            // The last good configuration stays in force.
            if (this->refusal != next.error().message) {
                logStateChange("configuration_refused", {{"source", source}, {"reason", next.error().message}});
            }
            this->refusal = next.error().message;
            return;
        }
        const int64_t revision = this->configuration ? this->configuration->revision : 0;
        if (next->revision <= revision) {
            if (next->revision < revision && this->refusedRevision != next->revision) {
                logStateChange(
                    "configuration_older", {{"source", source}, {"revision", std::to_string(next->revision)}, {"in_force", std::to_string(revision)}});
                this->refusedRevision = next->revision;
            }
            return;
        }
        accepted = std::make_shared<const Configuration>(std::move(*next));
        this->configuration = accepted;
        this->refusal.clear();
    }
    logStateChange("configuration_in_force", {{"revision", std::to_string(accepted->revision)}, {"source", source}});
    this->hooks.inForce(accepted);
}

// Heartbeats name new revisions, so that polls may grow rare with the fleet; together they cost the service the same.
Duration ConfigurationDuty::pollInterval() const
{
    if (!this->current()) {
        return FirstPollInterval;
    }
    const auto peers = static_cast<int64_t>(this->hooks.peers().size());
    return PollInterval * std::max<int64_t>(1, peers / PollingPeers);
}

void ConfigurationDuty::readStore()
{
    const std::optional<KeyValue> stored = this->store.get(ConfigurationKey);
    if (!stored) {
        return;
    }
    this->seenModRevision = stored->modRevision;
    this->offer(stored->value, "key_value");
}

void ConfigurationDuty::runStoreReader()
{
    Time nextPoll = this->clock.now();
    while (!this->stopping.load()) {
        try {
            const bool due = this->clock.now() >= nextPoll;
            if (due) {
                this->readStore();
                nextPoll = this->clock.now() + this->pollInterval();
            }
            if (this->hooks.isWatcher()) {
                if (const std::optional<KeyValue> changed = this->store.waitForChange(ConfigurationKey, this->seenModRevision, WatchLife)) {
                    this->seenModRevision = changed->modRevision;
                    this->offer(changed->value, "watch");
                } else {
                    // A silent watch proves nothing: read once for each watch.
                    this->readStore();
                }
                continue;
            }
        } catch (const Failure &) {
            nextPoll = this->clock.now() + FirstPollInterval;
            if (!this->current()) {
                for (const std::string &address : this->hooks.peers()) {
                    this->heardRevision(address, 1);
                }
            }
        }
        this->clock.sleepFor(StepInterval);
    }
}

void ConfigurationDuty::heardRevision(const std::string &address, int64_t revision)
{
    const ConfigurationPointer known = this->current();
    if (!address.empty() && revision > (known ? known->revision : 0)) {
        this->rumours.tryPush({address, revision});
    }
}

void ConfigurationDuty::runPeerReader()
{
    while (!this->stopping.load()) {
        const std::optional<Rumour> rumour = this->rumours.pop(StepInterval);
        const ConfigurationPointer known = this->current();
        if (!rumour || rumour->revision <= (known ? known->revision : 0)) {
            continue;
        }
        try {
            this->offer(this->hooks.fetch(rumour->address), "peer");
        } catch (const Failure &) {
            // Another heartbeat will name the revision again.
        }
    }
}

Result<ConfigurationPointer> ConfigurationDuty::apply(int64_t baseRevision, const Change &change, const std::string &author, const std::string &summary)
{
    try {
        const std::optional<KeyValue> stored = this->store.get(ConfigurationKey);
        Configuration base;
        if (stored) {
            Result<Configuration> parsed = Configuration::fromDocument(stored->value);
            if (!parsed) {
                return tl::unexpected<Error>(parsed.error());
            }
            base = std::move(*parsed);
        }
        const ConfigurationPointer known = this->current();
        if (known && known->revision > base.revision) {
            // The stored value was rolled back; what was accepted stays in force and is written again with the change.
            base = *known;
        }
        if (base.revision != baseRevision) {
            const std::string last = base.history.empty() ? std::string("unknown") : base.history.back().author + ": " + base.history.back().summary;
            return failed(
                ErrorKind::Conflict, "revision " + std::to_string(base.revision) + " is in force, not " + std::to_string(baseRevision) + " (" + last + ")");
        }
        Result<Configuration> next = change(base);
        if (!next) {
            return tl::unexpected<Error>(next.error());
        }
        return this->write(base, stored ? stored->modRevision : 0, std::move(*next), author, summary);
    } catch (const Failure &failure) {
        return tl::unexpected<Error>(failure.error);
    }
}

Result<ConfigurationPointer> ConfigurationDuty::write(
    const Configuration &base, int64_t modRevision, Configuration next, const std::string &author, const std::string &summary)
{
    next.revision = base.revision + 1;
    next.nonce = randomId();
    next.history = base.history;
    next.history.push_back({next.revision, Clock::wallMilliseconds(), author, summary});
    const std::string document = next.toDocument();
    const SwapOutcome outcome = compareAndSwapWithRetry(this->store, ConfigurationKey, modRevision, document, 0);
    if (!outcome.swapped) {
        const std::optional<KeyValue> other = this->store.get(ConfigurationKey);
        const Result<Configuration> winner = Configuration::fromDocument(other ? other->value : "");
        const bool known = winner && !winner->history.empty();
        return failed(ErrorKind::Conflict,
            "another operator changed the configuration first (" + (known ? winner->history.back().author + ": " + winner->history.back().summary : "unknown")
                + ")");
    }
    this->offer(document, "apply");
    return this->current();
}

} // namespace pimentosail
