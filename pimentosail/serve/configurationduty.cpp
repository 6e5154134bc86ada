#include "pimentosail/serve/configurationduty.h"

#include <algorithm>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/statelog.h"

namespace pimentosail
{

namespace
{

constexpr const char *ConfigurationKey = "configuration/current";
// A watch ends after this time without a change. The value is then read once and a new watch opened.
constexpr Duration WatchTimeout = std::chrono::seconds(3);
// Interval of polls of the key-value store in a small fleet.
constexpr Duration PollInterval = std::chrono::seconds(20);
// In a larger fleet the poll interval grows by one `PollInterval` for each further group of so many peers.
constexpr int64_t PeersPerPollInterval = 8;
// Interval of polls until a configuration is in force, and wait after a failed read.
constexpr Duration FirstPollInterval = Milliseconds(500);
// Interval at which both reader threads check for work and for the end of the process.
constexpr Duration IdleInterval = Milliseconds(250);

} // namespace

ConfigurationDuty::ConfigurationDuty(Clock &runtimeClock, KeyValueStore keyValueStore, ConfigurationHooks configurationHooks)
    : clock(runtimeClock)
    , kvStore(std::move(keyValueStore))
    , hooks(std::move(configurationHooks))
    , keyValueReader("configuration-store", [this] { this->runKeyValueReader(); })
    , peerReader("configuration-peers", [this] { this->runPeerReader(); })
{
}

void ConfigurationDuty::start()
{
    this->keyValueReader.start();
    this->peerReader.start();
}

void ConfigurationDuty::stop()
{
    this->stopping.store(true);
    this->peerRevisions.close();
    this->keyValueReader.join();
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

void ConfigurationDuty::acceptIfNewer(const std::string &document, const std::string &source)
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
            if (next->revision < revision && this->loggedOlderRevision != next->revision) {
                logStateChange(
                    "configuration_older", {{"source", source}, {"revision", std::to_string(next->revision)}, {"in_force", std::to_string(revision)}});
                this->loggedOlderRevision = next->revision;
            }
            return;
        }
        accepted = std::make_shared<const Configuration>(std::move(*next));
        this->configuration = accepted;
        this->refusal.clear();
    }
    logStateChange("configuration_in_force", {{"revision", std::to_string(accepted->revision)}, {"source", source}});
    this->hooks.onConfigurationChange(accepted);
}

// Lengthens the interval with the number of peers, so that the polls of all hosts together load the key-value store
// about the same in every fleet. Heartbeats report new revisions, so that hosts need not wait for their next poll.
Duration ConfigurationDuty::pollInterval() const
{
    if (!this->current()) {
        return FirstPollInterval;
    }
    const auto peers = static_cast<int64_t>(this->hooks.peerAddresses().size());
    return PollInterval * std::max<int64_t>(1, peers / PeersPerPollInterval);
}

void ConfigurationDuty::readKeyValueStore()
{
    const std::optional<KeyValue> stored = this->kvStore.get(ConfigurationKey);
    if (!stored) {
        return;
    }
    this->seenModRevision = stored->modRevision;
    this->acceptIfNewer(stored->value, "key_value");
}

void ConfigurationDuty::runKeyValueReader()
{
    Time nextPoll = this->clock.now();
    while (!this->stopping.load()) {
        try {
            const bool due = this->clock.now() >= nextPoll;
            if (due) {
                this->readKeyValueStore();
                nextPoll = this->clock.now() + this->pollInterval();
            }
            if (this->hooks.isWatcher()) {
                if (const std::optional<KeyValue> changed = this->kvStore.waitForChange(ConfigurationKey, this->seenModRevision, WatchTimeout)) {
                    this->seenModRevision = changed->modRevision;
                    this->acceptIfNewer(changed->value, "watch");
                } else {
                    // The watch may have missed a change, so read the value once after each watch that reported none.
                    this->readKeyValueStore();
                }
                continue;
            }
        } catch (const Failure &) {
            nextPoll = this->clock.now() + FirstPollInterval;
            if (!this->current()) {
                // Without the key-value store the first configuration can only come from a peer.
                for (const std::string &address : this->hooks.peerAddresses()) {
                    this->receivePeerRevision(address, 1);
                }
            }
        }
        this->clock.sleepFor(IdleInterval);
    }
}

void ConfigurationDuty::receivePeerRevision(const std::string &address, int64_t revision)
{
    const ConfigurationPointer inForce = this->current();
    if (!address.empty() && revision > (inForce ? inForce->revision : 0)) {
        this->peerRevisions.tryPush({address, revision});
    }
}

void ConfigurationDuty::runPeerReader()
{
    while (!this->stopping.load()) {
        const std::optional<PeerRevision> reported = this->peerRevisions.pop(IdleInterval);
        const ConfigurationPointer inForce = this->current();
        if (!reported || reported->revision <= (inForce ? inForce->revision : 0)) {
            continue;
        }
        try {
            this->acceptIfNewer(this->hooks.fetchDocument(reported->address), "peer");
        } catch (const Failure &) {
            // A later heartbeat reports the revision again.
        }
    }
}

Result<ConfigurationPointer> ConfigurationDuty::apply(int64_t baseRevision, const Change &change, const std::string &author, const std::string &summary)
{
    try {
        const std::optional<KeyValue> stored = this->kvStore.get(ConfigurationKey);
        Configuration base;
        if (stored) {
            Result<Configuration> parsed = Configuration::fromDocument(stored->value);
            if (!parsed) {
                return tl::unexpected<Error>(parsed.error());
            }
            base = std::move(*parsed);
        }
        const ConfigurationPointer inForce = this->current();
        if (inForce && inForce->revision > base.revision) {
            // The stored value was rolled back. The accepted configuration stays in force and is written again with the change.
            base = *inForce;
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
    const SwapOutcome outcome = compareAndSwapWithRetry(this->kvStore, ConfigurationKey, modRevision, document, 0);
    if (!outcome.swapped) {
        const std::optional<KeyValue> other = this->kvStore.get(ConfigurationKey);
        const Result<Configuration> winner = Configuration::fromDocument(other ? other->value : "");
        const bool hasHistory = winner && !winner->history.empty();
        return failed(ErrorKind::Conflict,
            "another operator changed the configuration first ("
                + (hasHistory ? winner->history.back().author + ": " + winner->history.back().summary : "unknown") + ")");
    }
    this->acceptIfNewer(document, "apply");
    return this->current();
}

} // namespace pimentosail
