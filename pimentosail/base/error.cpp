#include "pimentosail/base/error.h"

#include <algorithm>
#include <array>

namespace pimentosail
{

namespace
{

constexpr std::array Answers{
    ErrorAnswer{ErrorKind::BadRequest, "bad_request", 400, true, 0},
    ErrorAnswer{ErrorKind::Unauthorized, "unauthorized", 401, true, 0},
    ErrorAnswer{ErrorKind::NotAllowed, "not_allowed", 403, true, 0},
    ErrorAnswer{ErrorKind::UnknownModel, "unknown_model", 404, true, 0},
    ErrorAnswer{ErrorKind::UnknownService, "unknown_service", 404, true, 0},
    ErrorAnswer{ErrorKind::NotFound, "not_found", 404, true, 0},
    ErrorAnswer{ErrorKind::BodyTooLarge, "body_too_large", 413, true, 0},
    ErrorAnswer{ErrorKind::HeadTooLarge, "head_too_large", 431, true, 0},
    ErrorAnswer{ErrorKind::RequestTimeout, "request_timeout", 408, true, 0},
    ErrorAnswer{ErrorKind::AllowanceExceeded, "allowance_exceeded", 429, true, 1},
    ErrorAnswer{ErrorKind::Overloaded, "overloaded", 503, true, 1},
    ErrorAnswer{ErrorKind::DeadlineUnreachable, "deadline_unreachable", 503, true, 1},
    ErrorAnswer{ErrorKind::NoTarget, "no_target", 503, true, 2},
    ErrorAnswer{ErrorKind::TargetFull, "target_full", 503, true, 1},
    ErrorAnswer{ErrorKind::NotOwner, "not_owner", 503, true, 1},
    ErrorAnswer{ErrorKind::Quarantined, "quarantined", 422, false, 0},
    ErrorAnswer{ErrorKind::IdempotencyMismatch, "idempotency_mismatch", 422, true, 0},
    ErrorAnswer{ErrorKind::InProgress, "in_progress", 409, false, 1},
    ErrorAnswer{ErrorKind::OutcomeUnknown, "outcome_unknown", 502, false, 0},
    ErrorAnswer{ErrorKind::RecordsUnavailable, "records_unavailable", 503, true, 2},
    ErrorAnswer{ErrorKind::KeyValueUnavailable, "key_value_unavailable", 503, false, 2},
    ErrorAnswer{ErrorKind::ShuttingDown, "shutting_down", 503, true, 1},
    ErrorAnswer{ErrorKind::TargetLost, "target_lost", 502, false, 1},
    ErrorAnswer{ErrorKind::PeerLost, "peer_lost", 502, false, 1},
    ErrorAnswer{ErrorKind::Incomplete, "incomplete", 502, false, 1},
    ErrorAnswer{ErrorKind::Preempted, "preempted", 503, false, 1},
    ErrorAnswer{ErrorKind::Conflict, "conflict", 409, true, 0},
    ErrorAnswer{ErrorKind::InvalidConfiguration, "invalid_configuration", 422, true, 0},
    ErrorAnswer{ErrorKind::Cancelled, "cancelled", 499, false, 0},
    ErrorAnswer{ErrorKind::NotReady, "not_ready", 503, true, 1},
    ErrorAnswer{ErrorKind::DeadlinePassed, "deadline_passed", 504, false, 0},
    ErrorAnswer{ErrorKind::Blocked, "blocked", 502, true, 0},
    ErrorAnswer{ErrorKind::Internal, "internal", 500, false, 0},
};

} // namespace

const ErrorAnswer &answerFor(ErrorKind kind)
{
    for (const ErrorAnswer &answer : Answers) {
        if (answer.kind == kind) {
            return answer;
        }
    }
    return Answers.back();
}

bool promisesNotRun(int httpStatus)
{
    constexpr std::array Promises{408, 421, 429, 503};
    return std::find(Promises.begin(), Promises.end(), httpStatus) != Promises.end();
}

std::string_view errorName(ErrorKind kind)
{
    return answerFor(kind).name;
}

ErrorKind errorKindFromName(std::string_view name)
{
    for (const ErrorAnswer &answer : Answers) {
        if (answer.name == name) {
            return answer.kind;
        }
    }
    return ErrorKind::Internal;
}

} // namespace pimentosail
