// Keeps the newest accepted configuration in force; its revision only increases. A few hosts watch the key-value store
// for changes, and every host polls it at a low rate. When the heartbeat of a peer names a higher revision, the host
// fetches the configuration from that peer.
//
//     ConfigurationDuty duty(clock, kvStore, hooks);
//     ConfigurationPointer configuration = duty.current();   // null until the first one is accepted
//     Result<ConfigurationPointer> accepted = duty.apply(baseRevision, change, author, summary);
//
// Thread-safe.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>

#include "pimentosail/base/boundedqueue.h"
#include "pimentosail/base/duty.h"
#include "pimentosail/config/configuration.h"
#include "pimentosail/kv/keyvaluestore.h"

namespace pimentosail
{

// Functions of the rest of the process that the duty calls.
struct ConfigurationHooks
{
    // Returns true on the few hosts that keep a watch open.
    std::function<bool()> isWatcher;
    // Fetches the configuration document of a peer; throws `Failure` if it has none.
    std::function<std::string(const std::string &address)> fetchDocument;
    // Returns the internal addresses of the other hosts.
    std::function<std::vector<std::string>()> peerAddresses;
    // Called after a configuration has come into force.
    std::function<void(const ConfigurationPointer &configuration)> onConfigurationChange;
};

class ConfigurationDuty
{
public:
    // Returns a changed copy of `current`, or the reason why the change cannot be made.
    using Change = std::function<Result<Configuration>(const Configuration &current)>;

    ConfigurationDuty(Clock &runtimeClock, KeyValueStore keyValueStore, ConfigurationHooks configurationHooks);

    void start();
    void stop();

    // Returns the configuration in force, or null.
    ConfigurationPointer current() const;

    // Takes the report that the host at `address` has `revision`. If that is newer than the one in force, it is fetched
    // from there in the background.
    void receivePeerRevision(const std::string &address, int64_t revision);

    // Writes a changed configuration if `baseRevision` is still in force, and returns it once the write is confirmed.
    // Fails with `Conflict`, which names the other change, or with `InvalidConfiguration`, which lists every problem.
    Result<ConfigurationPointer> apply(int64_t baseRevision, const Change &change, const std::string &author, const std::string &summary);

    // Returns the reason why the last document that was read was refused, or an empty string once one is accepted.
    std::string lastRefusal() const;

private:
    // A revision that a peer reported.
    struct PeerRevision
    {
        std::string address;
        int64_t revision = 0;
    };

    void runKeyValueReader();
    void runPeerReader();
    Duration pollInterval() const;
    void readKeyValueStore();
    void acceptIfNewer(const std::string &document, const std::string &source);
    Result<ConfigurationPointer> write(
        const Configuration &base, int64_t modRevision, Configuration next, const std::string &author, const std::string &summary);

    Clock &clock;
    KeyValueStore kvStore;
    ConfigurationHooks hooks;
    mutable std::mutex mutex;
    ConfigurationPointer configuration;
    std::string refusal;
    // Last older revision that was logged, so that each is logged once.
    int64_t loggedOlderRevision = 0;
    int64_t seenModRevision = 0;
    BoundedQueue<PeerRevision> peerRevisions{64};
    std::atomic<bool> stopping{false};
    DutyThread keyValueReader;
    DutyThread peerReader;
};

} // namespace pimentosail
