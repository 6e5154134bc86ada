#include "pimentosail/delivery/deliverystate.h"

#include <algorithm>
#include <array>

#include "pimentosail/base/json.h"

namespace pimentosail
{

namespace
{

struct PhaseName
{
    DeliveryPhase phase;
    std::string_view name;
};

constexpr std::array<PhaseName, 5> PhaseNames = {{
    {DeliveryPhase::Waiting, "waiting"},
    {DeliveryPhase::Watching, "watching"},
    {DeliveryPhase::Switching, "switching"},
    {DeliveryPhase::Completed, "completed"},
    {DeliveryPhase::RolledBack, "rolled_back"},
}};

// More targets or versions than any deployment has; guards the memory of a host against a faulty value.
constexpr Json::ArrayIndex MaxListLength = 4096;

Json::Value toJsonArray(const std::vector<std::string> &names)
{
    Json::Value array(Json::arrayValue);
    for (const std::string &name : names) {
        array.append(name);
    }
    return array;
}

std::vector<std::string> namesField(const Json::Value &document, const char *field)
{
    const Json::Value &array = document[field];
    if (array.isNull()) {
        return {};
    }
    if (!array.isArray() || array.size() > MaxListLength) {
        throw Failure(ErrorKind::BadRequest, std::string("field '") + field + "' must be a list of at most " + std::to_string(MaxListLength) + " names");
    }
    std::vector<std::string> names;
    for (const Json::Value &name : array) {
        if (!name.isString()) {
            throw Failure(ErrorKind::BadRequest, std::string("field '") + field + "' must hold strings only");
        }
        names.push_back(name.asString());
    }
    return names;
}

int64_t countField(const Json::Value &document, const char *field)
{
    const int64_t value = jsonInteger(document, field);
    if (value < 0) {
        throw Failure(ErrorKind::BadRequest, std::string("field '") + field + "' must not be negative");
    }
    return value;
}

Duration timeField(const Json::Value &document, const char *field)
{
    const int64_t milliseconds = countField(document, field);
    // Bounds the sums of times; far above the longest order and a late decision.
    constexpr int64_t MaxTimeMs = 1'000 * 86'400'000LL;
    if (milliseconds > MaxTimeMs) {
        throw Failure(ErrorKind::BadRequest, std::string("field '") + field + "' is out of range");
    }
    return Milliseconds(milliseconds);
}

DeliveryState readState(const Json::Value &document)
{
    if (!document.isObject()) {
        throw Failure(ErrorKind::BadRequest, "the state of a delivery must be an object");
    }
    DeliveryState state;
    state.order.service = jsonString(document, "service");
    state.order.version = jsonString(document, "version");
    state.order.duration = timeField(document, "duration_ms");
    state.order.position = {countField(document, "order_era"), countField(document, "order_revision")};
    const std::string phaseName = jsonString(document, "phase");
    const std::optional<DeliveryPhase> phase = deliveryPhaseFromName(phaseName);
    if (!phase) {
        throw Failure(ErrorKind::BadRequest, "field 'phase' is unknown: '" + phaseName + "'");
    }
    state.phase = *phase;
    // A rejected order may lack them; what is in progress can't do without.
    if (state.order.service.empty() || (state.order.version.empty() && !isFinal(state.phase))) {
        throw Failure(ErrorKind::BadRequest, std::string("field '") + (state.order.service.empty() ? "service" : "version") + "' is missing");
    }
    const Json::Value &share = document["share"];
    if (!share.isNull() && !(share.isNumeric() && share.asDouble() >= 0 && share.asDouble() <= 1)) {
        throw Failure(ErrorKind::BadRequest, "field 'share' must be a number from 0 to 1");
    }
    state.share = share.isNull() ? 0 : share.asDouble();
    state.chosenTargets = namesField(document, "chosen_targets");
    state.oldVersions = namesField(document, "old_versions");
    state.withdrawnVersions = namesField(document, "withdrawn_versions");
    state.elapsed = timeField(document, "elapsed_ms");
    state.phaseBegan = timeField(document, "phase_began_ms");
    state.oldRuns = countField(document, "old_runs");
    state.isRejected = jsonBoolean(document, "rejected");
    state.reason = jsonString(document, "reason");
    const Json::Value &evidence = document["evidence"];
    if (!evidence.isNull() && !evidence.isObject()) {
        throw Failure(ErrorKind::BadRequest, "field 'evidence' must be an object");
    }
    state.evidence = {countField(evidence, "new_answers"), countField(evidence, "new_failures"), countField(evidence, "new_slow"),
        countField(evidence, "old_answers"), countField(evidence, "old_failures"), countField(evidence, "old_slow")};
    return state;
}

} // namespace

std::string_view deliveryPhaseName(DeliveryPhase phase)
{
    const auto *const found = std::find_if(PhaseNames.begin(), PhaseNames.end(), [phase](const PhaseName &entry) { return entry.phase == phase; });
    return found == PhaseNames.end() ? "unknown" : found->name;
}

std::optional<DeliveryPhase> deliveryPhaseFromName(std::string_view name)
{
    const auto *const found = std::find_if(PhaseNames.begin(), PhaseNames.end(), [name](const PhaseName &entry) { return entry.name == name; });
    return found == PhaseNames.end() ? std::nullopt : std::optional(found->phase);
}

bool isFinal(DeliveryPhase phase)
{
    return phase == DeliveryPhase::Completed || phase == DeliveryPhase::RolledBack;
}

Duration elapsedSinceOrder(const DeliveryState &state, Duration sinceReceived, std::optional<Duration> sinceOrder)
{
    const Duration byState = state.elapsed + std::max(sinceReceived, Duration(0));
    return std::max(byState, sinceOrder.value_or(byState));
}

std::string encodeDeliveryState(const DeliveryState &state)
{
    Json::Value document;
    document["service"] = state.order.service;
    document["version"] = state.order.version;
    document["duration_ms"] = Json::Int64(toMilliseconds(state.order.duration));
    document["order_era"] = Json::Int64(state.order.position.era);
    document["order_revision"] = Json::Int64(state.order.position.revision);
    document["phase"] = std::string(deliveryPhaseName(state.phase));
    document["share"] = state.share;
    document["chosen_targets"] = toJsonArray(state.chosenTargets);
    document["old_versions"] = toJsonArray(state.oldVersions);
    document["withdrawn_versions"] = toJsonArray(state.withdrawnVersions);
    document["elapsed_ms"] = Json::Int64(toMilliseconds(state.elapsed));
    document["phase_began_ms"] = Json::Int64(toMilliseconds(state.phaseBegan));
    document["old_runs"] = Json::Int64(state.oldRuns);
    document["rejected"] = state.isRejected;
    document["reason"] = state.reason;
    Json::Value &evidence = document["evidence"];
    evidence["new_answers"] = Json::Int64(state.evidence.newAnswers);
    evidence["new_failures"] = Json::Int64(state.evidence.newFailures);
    evidence["new_slow"] = Json::Int64(state.evidence.newSlow);
    evidence["old_answers"] = Json::Int64(state.evidence.oldAnswers);
    evidence["old_failures"] = Json::Int64(state.evidence.oldFailures);
    evidence["old_slow"] = Json::Int64(state.evidence.oldSlow);
    return printJson(document);
}

Result<DeliveryState> decodeDeliveryState(std::string_view value)
{
    try {
        return readState(parseJson(value));
    } catch (const Failure &failure) {
        return tl::unexpected<Error>(failure.error);
    }
}

} // namespace pimentosail
