// Keeps the newest accepted configuration in force. Its revision only rises. It is read from the key-value service
// by a watch on a few hosts and by slow polls, and passed on between peers when a heartbeat names a higher revision.
//
//     ConfigurationDuty duty(clock, store, peers, membership);
//     ConfigurationPointer configuration = duty.current();   // null until the first is known
//     Result<ConfigurationPointer> accepted = duty.apply(baseRevision, change, author, summary);
//
// Thread-safe.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>

#include "pimentosail/base/boundedring.h"
#include "pimentosail/base/duty.h"
#include "pimentosail/config/configuration.h"
#include "pimentosail/kv/keyvaluestore.h"

namespace pimentosail
{

// What the duty needs of the rest of the process.
struct ConfigurationHooks
{
    // True on the few hosts that keep a watch open.
    std::function<bool()> isWatcher;
    // Fetches the configuration document of a peer; throws `Failure` if it has none.
    std::function<std::string(const std::string &address)> fetch;
    // Internal addresses of the other hosts.
    std::function<std::vector<std::string>()> peers;
    // Told when a configuration comes into force.
    std::function<void(const ConfigurationPointer &configuration)> inForce;
};

class ConfigurationDuty
{
public:
    // A change of a configuration: returns the changed one or the reason why it cannot be made.
    using Change = std::function<Result<Configuration>(const Configuration &current)>;

    ConfigurationDuty(Clock &runtimeClock, KeyValueStore keyValueStore, ConfigurationHooks configurationHooks);

    void start();
    void stop();

    // Returns the configuration in force, or null.
    ConfigurationPointer current() const;

    // Says that the host at `address` has revision `revision`; fetches it if it is newer.
    void heardRevision(const std::string &address, int64_t revision);

    // Writes a changed configuration if `baseRevision` is still in force. Returns it once the write is known to
    // stand; `Conflict` names the other change; `InvalidConfiguration` lists every problem.
    Result<ConfigurationPointer> apply(int64_t baseRevision, const Change &change, const std::string &author, const std::string &summary);

    // Returns the reason why the last offered configuration was refused, or an empty string.
    std::string lastRefusal() const;

private:
    struct Rumour
    {
        std::string address;
        int64_t revision = 0;
    };

    void runStoreReader();
    void runPeerReader();
    Duration pollInterval() const;
    void readStore();
    void offer(const std::string &document, const std::string &source);
    Result<ConfigurationPointer> write(
        const Configuration &base, int64_t modRevision, Configuration next, const std::string &author, const std::string &summary);

    Clock &clock;
    KeyValueStore store;
    ConfigurationHooks hooks;
    mutable std::mutex mutex;
    ConfigurationPointer configuration;
    std::string refusal;
    int64_t refusedRevision = 0;
    int64_t seenModRevision = 0;
    BoundedRing<Rumour> rumours{64};
    std::atomic<bool> stopping{false};
    DutyThread storeReader;
    DutyThread peerReader;
};

} // namespace pimentosail
