// One HTTP/1.1 connection to a target, with strict framing of answers.
//
// POCO reads and writes the heads; the body is framed here, because POCO's chunked reader reports a body that broke
// off as one that ended. Every wait watches the caller's connection as well, so that a caller who leaves is noticed
// at once.
//
//     Result<std::unique_ptr<TargetConnection>> connection = TargetConnection::connect("10.0.0.1:80", Milliseconds(300));
//     (*connection)->send(bytes, wait);
//     (*connection)->readHead(head, wait);
//     while ((*connection)->readBody(data, wait) == ReadStatus::Data) { ... }
//
// Belongs to one thread at a time.
#pragma once

#include <memory>
#include <string>

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include "pimentosail/base/clock.h"
#include "pimentosail/base/error.h"

namespace pimentosail
{

// How long a call may wait, and whose departure ends it early.
struct Wait
{
    const Clock &clock;
    Time end{};
    // Socket descriptor of the caller's connection; -1 watches none.
    int callerSocket = -1;
};

enum class ReadStatus {
    Data,
    // The answer is complete by its own framing.
    End,
    // The connection failed, ended early, or sent bytes that are no answer.
    Broken,
    Timeout,
    CallerGone,
};

enum class SendStatus {
    Sent,
    // The target answered before it had read all; the rest was not sent and the connection cannot be used again.
    AnsweredEarly,
    Broken,
    Timeout,
    CallerGone,
};

class TargetConnection
{
public:
    // Connects within `timeout`. The error always proves that nothing was sent.
    static Result<std::unique_ptr<TargetConnection>> connect(const std::string &address, Duration timeout);

    // Sends one whole request. `anySent` tells whether a byte may have reached the target.
    SendStatus send(const std::string &bytes, const Wait &wait, bool &anySent);

    // Reads the head of the final answer (interim answers are skipped). Returns Data on success.
    // `expectsBody` is false for the answer to HEAD.
    ReadStatus readHead(Poco::Net::HTTPResponse &head, bool expectsBody, const Wait &wait);

    // Appends what has arrived of the body to `data`; returns Data if something did.
    ReadStatus readBody(std::string &data, const Wait &wait);

    // Returns true if no byte and no end of connection is pending, so that another request may be sent.
    bool isQuiet() const;

    // Returns true if the last answer ended by its own framing and the target keeps the connection open.
    bool isReusable() const;

    // Time at which the connection was last used, kept by the pool.
    Time lastUsed{};
    // How long the target says it keeps the connection open; zero if it did not say.
    Duration idleLimit{};

private:
    enum class Framing {
        None,
        Length,
        Chunked,
        UntilClose,
    };
    enum class ChunkState {
        Size,
        Data,
        DataEnd,
        Trailer,
        Done,
    };

    explicit TargetConnection(Poco::Net::StreamSocket connectedSocket)
        : socket(std::move(connectedSocket))
    {
    }

    ReadStatus fill(const Wait &wait);
    ReadStatus takeChunked(std::string &data);
    ReadStatus takeLength(std::string &data);
    bool takeLine(std::string &line);

    Poco::Net::StreamSocket socket;
    std::string buffer;
    Framing framing = Framing::None;
    ChunkState chunkState = ChunkState::Size;
    uint64_t remaining = 0;
    bool closedByPeer = false;
    bool complete = false;
    bool keepsOpen = false;
    bool sentAll = true;
};

} // namespace pimentosail
