// The list of all error kinds and the answer that a caller receives for each of them.
//
// Every failure that can reach a caller, an operator or a peer is one of the kinds below. A failure that
// prevents construction is returned as `Result<T>`; one that ends a request is thrown as `Failure`.
//
//     throw Failure(ErrorKind::UnknownModel, "model 'x' is not served here");
//     answerFor(ErrorKind::Overloaded).httpStatus;  // 503
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace pimentosail
{

// All kinds of error. Their names are part of the protocols (see `errorName`), their order and numbers are not.
enum class ErrorKind {
    BadRequest,
    Unauthorized,
    NotAllowed,
    UnknownModel,
    UnknownService,
    NotFound,
    BodyTooLarge,
    HeadTooLarge,
    RequestTimeout,
    AllowanceExceeded,
    Overloaded,
    DeadlineUnreachable,
    NoTarget,
    TargetFull,
    NotOwner,
    Quarantined,
    IdempotencyMismatch,
    InProgress,
    OutcomeUnknown,
    RecordsUnavailable,
    KeyValueUnavailable,
    ShuttingDown,
    TargetLost,
    PeerLost,
    Incomplete,
    Preempted,
    Conflict,
    InvalidConfiguration,
    Cancelled,
    NotReady,
    DeadlinePassed,
    Blocked,
    Internal,
};

// The name of an error kind and the HTTP answer that a caller receives for it.
struct ErrorAnswer
{
    ErrorKind kind;
    std::string_view name;
    int httpStatus;
    // True if the kind implies that no target ran the request.
    bool notRun;
    // Seconds for the Retry-After header; 0 sends none.
    int retryAfterSeconds;
};

// Returns the answer for `kind`.
const ErrorAnswer &answerFor(ErrorKind kind);

// Returns true if callers take `httpStatus` to mean that the request was not run and never will be, so that they may send it again.
bool promisesNotRun(int httpStatus);

// Returns the stable snake_case name of `kind`.
std::string_view errorName(ErrorKind kind);

// Returns the kind called `name`, or `ErrorKind::Internal` for an unknown name.
ErrorKind errorKindFromName(std::string_view name);

// An error with its message. `notRun` is true only when it is certain that no target ran the request.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    bool notRun = false;

    Error() = default;
    Error(ErrorKind errorKind, std::string text)
        : kind(errorKind)
        , message(std::move(text))
        , notRun(answerFor(errorKind).notRun)
    {
    }
    Error(ErrorKind errorKind, std::string text, bool certainlyNotRun)
        : kind(errorKind)
        , message(std::move(text))
        , notRun(certainlyNotRun)
    {
    }
};

// The value of a factory function, or the reason why there is none.
template <typename T>
using Result = tl::expected<T, Error>;

// Builds the error branch of a `Result`.
inline tl::unexpected<Error> failed(ErrorKind kind, std::string message)
{
    return tl::unexpected<Error>(Error(kind, std::move(message)));
}

// The exception that ends a request or call with an `Error`.
class Failure : public std::runtime_error
{
public:
    explicit Failure(Error failure)
        : std::runtime_error(failure.message)
        , error(std::move(failure))
    {
    }
    Failure(ErrorKind kind, const std::string &message)
        : Failure(Error(kind, message))
    {
    }

    Error error;
};

} // namespace pimentosail
