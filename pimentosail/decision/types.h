// Events that the decision core handles, commands that it returns, and the plain data in them.
//
// The core does no I/O and reads no clock: every call has the current time as an argument. See scheduler.h.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/base/error.h"
#include "pimentosail/config/lists.h"

namespace pimentosail
{

// Index of a target in the scheduler's table; stable for the life of the process.
using TargetIndex = int;
constexpr TargetIndex NoTarget = -1;

// Index of a cache store in the scheduler's table; stable for the life of the process.
using StoreIndex = int;
constexpr StoreIndex NoStore = -1;

using RequestId = uint64_t;

// The tiers of a cache store. Each has a link of its own.
enum class Tier {
    Memory,
    Disk,
};
constexpr size_t TierCount = 2;

// Returns the name of `tier` for dumps and metrics.
const char *tierName(Tier tier);

// Whether a target or another host of the fleet may be used, by the configuration and the platform's host list.
enum class TargetAvailability {
    Live,
    // Running requests finish, but no new work starts: the host is leaving, or operators took it out of service.
    Leaving,
    // No longer listed.
    Removed,
};

// The configured properties of a target, which are known before its first load report.
struct TargetDescription
{
    std::string name;
    std::string model;
    std::string zone;
    std::string address;
    // Entry host that admits requests to the target.
    std::string owner;
    TargetAvailability availability = TargetAvailability::Live;
    int64_t coldLimit = 2;
    int64_t warmLimit = 8;
    // Slots of the target that this host may use: the target's limit if this host is the owner, this host's
    // fallback share, or 0.
    int64_t usableSlots = 0;
    // True if requests for the target must be forwarded to `owner`.
    bool remote = false;
};

// A load report of a target. It may arrive late.
struct TargetReport
{
    // Identifies the run of the target's process; changes with each restart.
    std::string boot;
    // True for some time after the target started: it is slower then and runs at most its cold limit of requests at once.
    bool cold = false;
    // True while the target loads weights; it takes no new work then.
    bool loading = false;
    int64_t version = 0;
    int64_t running = 0;
    int64_t queuedTokens = 0;
    int64_t cacheTokens = 0;
    // Cached prefixes that have not been used for this long are evicted; negative if nothing has been evicted.
    Duration evictionAge{-1};
    double prefillTokensPerSecond = 0;
};

// The properties of a request that decisions depend on.
struct RequestInfo
{
    RequestId id = 0;
    std::string team;
    std::string model;
    Priority priority = Priority::Standard;
    Time firstTokenDeadline{};
    Time finishDeadline{};
    int64_t promptTokens = 0;
    int64_t answerTokens = 0;
    // Chained hashes of the complete cache blocks of the prompt, salted by team, model and weight version.
    std::vector<uint64_t> blocks;
    // Identifies the prompt across requests that use it again.
    uint64_t promptKey = 0;
    // True if the request was in flight on a target that died. It may have crashed the target, so that at most one suspect
    // runs on a target at a time.
    bool suspect = false;
    // True if the answer has begun already; the first-token deadline no longer applies.
    bool resumed = false;
    // Targets on which this request has failed before.
    std::vector<TargetIndex> excludedTargets;
    // Only in benchmarks: the actual time until the prompt returns, for the clairvoyant reference policy.
    std::optional<Duration> knownReturn;
    // Target that the forwarding host has chosen; `NoTarget` lets the core choose.
    TargetIndex pinnedTarget = NoTarget;
    // How often the request was preempted.
    int preemptions = 0;
};

// Where the cached prefix of a prompt comes from.
enum class SourceKind {
    Recompute,
    TargetCache,
    StoreImport,
};

// Returns the name of `kind` for dumps and metrics.
const char *sourceName(SourceKind kind);

// A source with the number of prompt tokens that need no prefill. `store` and `tier` apply to StoreImport only.
struct CacheSource
{
    SourceKind kind = SourceKind::Recompute;
    int64_t tokens = 0;
    StoreIndex store = NoStore;
    Tier tier = Tier::Memory;
};

// Events.

struct RequestArrived
{
    RequestInfo request;
};

// The first token of a request's answer has arrived.
struct FirstTokenSeen
{
    RequestId id = 0;
    // Prompt tokens that the engine found in its cache, or a negative number if it did not say.
    int64_t cachedTokens = -1;
};

// How an attempt ended.
enum class AttemptOutcome {
    Finished,
    // The target closed the connection, timed out or answered with an error of its own.
    TargetFailed,
    // The target died: its connection was lost and it cannot be reached, or it has a new boot id.
    TargetDied,
    // The target refused the request before it ran any of it.
    TargetRefused,
    Preempted,
    Cancelled,
};

struct AttemptEnded
{
    RequestId id = 0;
    AttemptOutcome outcome = AttemptOutcome::Finished;
};

// A caller disconnected. The request is removed from the queue, or its attempt counts as cancelled.
struct RequestWithdrawn
{
    RequestId id = 0;
};

struct TargetReported
{
    TargetIndex target = NoTarget;
    TargetReport report;
};

// A peer's load summary of a target that it owns.
struct RemoteTargetReported
{
    TargetIndex target = NoTarget;
    int64_t inFlight = 0;
    // Prompt tokens that wait for prefill: all, and those of interactive requests.
    int64_t queuedTokens = 0;
    int64_t interactiveTokens = 0;
    int64_t usableSlots = 0;
    bool cold = false;
    Duration evictionAge{-1};
    // 0 if the owner did not say.
    double prefillTokensPerSecond = 0;
};

// A target has evicted a cache block. These events can be late or missing.
struct BlockEvicted
{
    TargetIndex target = NoTarget;
    uint64_t block = 0;
};

// The load report of a target could not be fetched.
struct TargetUnreachable
{
    TargetIndex target = NoTarget;
};

// The size of a prompt's copy in a cache store, in tokens, after an export; 0 after an eviction or a failed export.
struct StoreCopyChanged
{
    uint64_t promptKey = 0;
    StoreIndex store = NoStore;
    Tier tier = Tier::Memory;
    int64_t tokens = 0;
};

// The state of a cache store's link: `wait` is the wait of a new transfer.
struct LinkReported
{
    StoreIndex store = NoStore;
    Tier tier = Tier::Memory;
    Duration wait{};
    double bytesPerSecond = 0;
    // Age at which the tier evicts copies; negative if it has evicted none.
    Duration evictionAge{-1};
    bool usable = true;
};

// Must be passed in regularly, so that expired requests are refused and waiting ones are dispatched.
struct ClockTicked
{
};

using Event = std::variant<RequestArrived, FirstTokenSeen, AttemptEnded, RequestWithdrawn, TargetReported, RemoteTargetReported, BlockEvicted,
    TargetUnreachable, StoreCopyChanged, LinkReported, ClockTicked>;

// Commands.

// Run the request on a target, after an import from a cache store if the source is StoreImport.
struct Dispatch
{
    RequestId id = 0;
    TargetIndex target = NoTarget;
    CacheSource source;
    // Predicted time to first token from now.
    Duration predicted{};
    // True if another entry host owns the target, so that the request must be forwarded to it.
    bool forward = false;
    std::string targetName;
    std::string address;
    std::string owner;
    // Boot id of the target as last reported.
    std::string boot;
};

// Answer the request with an error instead of running it. `error.notRun` is false if an expired request had been resumed.
struct Refuse
{
    RequestId id = 0;
    Error error;
};

// Cancel the running attempt; its request is passed in again as RequestArrived with `resumed`.
struct Preempt
{
    RequestId id = 0;
};

// Copy the cache blocks of a prompt from a target to a cache store, in the background.
struct Export
{
    uint64_t promptKey = 0;
    std::string team;
    TargetIndex target = NoTarget;
    StoreIndex store = NoStore;
    Tier tier = Tier::Memory;
    std::vector<uint64_t> blocks;
    int64_t tokens = 0;
    // Expected saving of prefill time in seconds per byte; copies with a higher value are kept longer.
    double value = 0;
};

using Command = std::variant<Dispatch, Refuse, Preempt, Export>;

} // namespace pimentosail
