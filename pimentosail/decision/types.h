// Events that the decision core takes, commands that it gives, and the plain data in them.
//
// The core does no I/O and reads no clock: every call carries the time. See scheduler.h.
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

// Index of a target in the scheduler's table; stable while the process lives.
using TargetIndex = int;
constexpr TargetIndex NoTarget = -1;

// Index of a store in the scheduler's table.
using StoreIndex = int;
constexpr StoreIndex NoStore = -1;

using RequestId = uint64_t;

// The tiers of a store, each behind a link of its own.
enum class Tier {
    Memory,
    Disk,
};
constexpr size_t TierCount = 2;

// Returns the name of `tier` for dumps and metrics.
const char *tierName(Tier tier);

// How far a target may be used, by the lists and the platform's host list.
enum class TargetAvailability {
    Live,
    // Leaving or taken out: running requests finish, no new work starts.
    Leaving,
    Gone,
};

// What is known of a target before it has reported.
struct TargetDescription
{
    std::string name;
    std::string model;
    std::string zone;
    std::string address;
    // Entry host that owns the target's admission.
    std::string owner;
    TargetAvailability availability = TargetAvailability::Live;
    int64_t coldLimit = 2;
    int64_t warmLimit = 8;
    // Slots that this host may fill: the owner's limit, its fallback share, or 0.
    int64_t usableSlots = 0;
    // True if requests for it must be forwarded to `owner`.
    bool remote = false;
};

// A load report of a target, possibly late.
struct TargetReport
{
    std::string boot;
    bool cold = false;
    bool loading = false;
    int64_t version = 0;
    int64_t running = 0;
    int64_t queuedTokens = 0;
    int64_t cacheTokens = 0;
    // Cached prefixes last used before this age are evicted; negative if nothing has been evicted.
    Duration evictionAge{-1};
    double prefillTokensPerSecond = 0;
};

// A request as the core sees it.
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
    // Chained hashes of the whole cache pieces of the prompt, salted by team, model and weight version.
    std::vector<uint64_t> pieces;
    // Identifies the prompt across its returns.
    uint64_t promptKey = 0;
    // True if the request was in flight on a target that died; such requests run apart from each other.
    bool suspect = false;
    // True if the answer has begun; the first-token deadline no longer counts.
    bool resumed = false;
    // Targets that failed this request before.
    std::vector<TargetIndex> avoid;
    // Only in benchmarks: the true time until the prompt returns, for the clairvoyant reference.
    std::optional<Duration> knownReturn;
    // Target that an upstream host has chosen; NoTarget lets the core choose.
    TargetIndex pinned = NoTarget;
    // How often the request was preempted.
    int preemptions = 0;
};

// Where the cached part of a prompt comes from.
enum class SourceKind {
    Recompute,
    TargetCache,
    StoreImport,
};

// Returns the name of `kind` for dumps and metrics.
const char *sourceName(SourceKind kind);

// A source with the tokens that it spares.
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

// An engine has begun to answer.
struct FirstTokenSeen
{
    RequestId id = 0;
    // Prompt tokens that the engine found in its cache, or a negative number if it did not say.
    int64_t cachedTokens = -1;
};

// How an attempt ended.
enum class AttemptOutcome {
    Finished,
    // The target broke the connection, timed out or answered with an error of its own.
    TargetFailed,
    // The target died: its connection broke and it cannot be reached, or it has a new boot id.
    TargetDied,
    // The target refused before it ran anything.
    TargetRefused,
    Preempted,
    Cancelled,
};

struct AttemptEnded
{
    RequestId id = 0;
    AttemptOutcome outcome = AttemptOutcome::Finished;
};

// A caller left before its request was dispatched.
struct RequestWithdrawn
{
    RequestId id = 0;
};

struct TargetReported
{
    TargetIndex target = NoTarget;
    TargetReport report;
};

// A peer's summary of a target that it owns.
struct RemoteTargetReported
{
    TargetIndex target = NoTarget;
    int64_t inFlight = 0;
    // Prompt tokens that wait: all, and those of interactive requests.
    int64_t queuedTokens = 0;
    int64_t urgentTokens = 0;
    int64_t usableSlots = 0;
    bool cold = false;
    Duration evictionAge{-1};
    // 0 if the owner did not say.
    double prefillTokensPerSecond = 0;
};

// A target has evicted a cache piece; such events come late and not all of them come.
struct PieceEvicted
{
    TargetIndex target = NoTarget;
    uint64_t piece = 0;
};

struct TargetUnreachable
{
    TargetIndex target = NoTarget;
};

// A store reports how much a copy of a prompt holds after an export, or 0 after an eviction or a failure.
struct StoreCopyChanged
{
    uint64_t promptKey = 0;
    StoreIndex store = NoStore;
    Tier tier = Tier::Memory;
    int64_t tokens = 0;
};

// The wait that a new transfer would have on a store's link.
struct LinkReported
{
    StoreIndex store = NoStore;
    Tier tier = Tier::Memory;
    Duration wait{};
    double bytesPerSecond = 0;
    // Age at which the tier evicts; negative if it is not full.
    Duration evictionAge{-1};
    bool usable = true;
};

struct ClockTicked
{
};

using Event = std::variant<RequestArrived, FirstTokenSeen, AttemptEnded, RequestWithdrawn, TargetReported, RemoteTargetReported, PieceEvicted,
    TargetUnreachable, StoreCopyChanged, LinkReported, ClockTicked>;

// Commands.

// Run the request on a target, after importing from a store if the source says so.
struct Dispatch
{
    RequestId id = 0;
    TargetIndex target = NoTarget;
    CacheSource source;
    // Predicted time to first token from now.
    Duration predicted{};
    // True if the target belongs to another entry host.
    bool forward = false;
    std::string targetName;
    std::string address;
    std::string owner;
    // Run of the target as last reported.
    std::string boot;
};

// Answer the request with an error; it was not run.
struct Refuse
{
    RequestId id = 0;
    Error error;
};

// Cancel the running attempt; its request comes again as RequestArrived with `resumed`.
struct Preempt
{
    RequestId id = 0;
};

// Copy a prompt's cache from a target to a store, in the background.
struct Export
{
    uint64_t promptKey = 0;
    std::string team;
    TargetIndex target = NoTarget;
    StoreIndex store = NoStore;
    Tier tier = Tier::Memory;
    std::vector<uint64_t> pieces;
    int64_t tokens = 0;
    // Seconds of recomputation expected to be saved for each byte; higher is kept longer.
    double value = 0;
};

using Command = std::variant<Dispatch, Refuse, Preempt, Export>;

} // namespace pimentosail
