// One HTTP/1.1 connection to a target, another host or a store, which checks the framing of answers strictly.
//
// `parseAnswerHead` reads the header of an answer. Each wait also watches the caller's connection, so that it ends at once when the caller
// disconnects.
//
//     Result<std::unique_ptr<HttpConnection>> connection = HttpConnection::connect("10.0.0.1:80", wait);
//     (*connection)->send(bytes, wait, anySent);
//     (*connection)->readHeader(header, true, wait);
//     while ((*connection)->readBody(data, wait) == ReadStatus::Data) { ... }
//
// Not thread-safe: a connection belongs to one thread at a time.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <Poco/Net/StreamSocket.h>

#include "pimentosail/base/clock.h"
#include "pimentosail/base/error.h"
#include "pimentosail/base/interrupt.h"
#include "pimentosail/net/answerrules.h"
#include "pimentosail/net/callerbuffers.h"
#include "pimentosail/net/chunkdecoder.h"
#include "pimentosail/net/messagehead.h"

namespace pimentosail
{

// How long a call may wait, and the caller whose disconnection ends the wait early.
struct Wait
{
    const Clock &clock;
    Time end{};
    // Socket descriptor of the caller's connection; -1 watches none.
    int callerSocket = -1;
    // Ends the wait as its time would; null watches none.
    const Interrupt *interrupt = nullptr;
    // Writes to the caller what waits for it, while the wait lasts; null for nothing. Its socket is `callerSocket`.
    CallerWriter *callerWriter = nullptr;
};

enum class ReadStatus {
    // The header, or bytes of the body, have been read.
    Data,
    // The body is complete according to its framing.
    End,
    // The connection failed, was closed before the end of the answer, or delivered bytes that are not a valid answer.
    Broken,
    Timeout,
    CallerDisconnected,
};

enum class SendStatus {
    Sent,
    // The target began its final answer before it had read the complete request. The rest was not sent, so that the connection cannot be
    // reused.
    AnsweredEarly,
    // The connection has carried a request with the same id. Nothing was sent.
    IdRepeated,
    Broken,
    Timeout,
    CallerDisconnected,
};

// A connection to one target, used for one request at a time.
class HttpConnection
{
public:
    // Maximum number of bytes that one call of `readBody` appends, unless the header came with more.
    static constexpr size_t MaxReadBytes = 16 * 1024;
    // Bounds the memory of the ids that a connection has carried.
    static constexpr size_t MaxCarriedIds = 1024;

    // Connects to `address` (`IP:PORT`). Errors: Cancelled if the caller disconnected meanwhile, else TargetLost. They have
    // `notRun` set, because nothing was sent.
    static Result<std::unique_ptr<HttpConnection>> connect(const std::string &address, const Wait &wait);

    // A connection whose answer is incomplete is reset, so that bytes that have not reached the target yet are dropped.
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    // Sends one complete request. Sets `anySent` as soon as a byte may have reached the target.
    SendStatus send(const std::string &bytes, const Wait &wait, bool &anySent);

    // The same for a request whose answer repeats `requestId`. A connection carries an id once only: a peer may send a copy of an earlier
    // answer, and the id must tell it from the answer to this request.
    SendStatus sendNamed(const std::string &bytes, const std::string &requestId, const Wait &wait, bool &anySent);

    // Returns true if a request with this id has been sent on this connection; with an empty id, if any request has.
    bool hasCarried(const std::string &requestId) const;

    // Reads the header of the final answer and skips interim answers (100, 102, 103), up to a total size. Returns Data on success, and Broken
    // for another status, as soon as its line has arrived. `expectsBody` is false for the answer to HEAD.
    ReadStatus readHeader(AnswerHead &header, bool expectsBody, const Wait &wait);

    // Appends the bytes of the body that have arrived to `data`, and waits if there are none. Returns Data if it has
    // appended bytes.
    ReadStatus readBody(std::string &data, const Wait &wait);

    // Returns true if neither a byte nor the close of the connection is pending, so that another request may be sent.
    bool hasNoPendingInput() const;

    // Returns true if the last request was sent and received completely, its answer is complete, the target keeps the connection open, and the
    // connection has carried fewer than `MaxCarriedIds` requests with ids.
    bool isReusable() const;

    // Returns true if only the close of the connection marked the end of the last answer, so that the answer may lack its end.
    bool wasAnswerEndedByClose() const
    {
        return this->complete && this->framing == AnswerFraming::UntilClose;
    }

    // Returns why the last read returned Broken, or None if nothing but the failure itself is known.
    AnswerFault fault() const
    {
        return this->answerFault;
    }

    // When the connection was last used; set by the pool.
    Time lastUsed{};
    // How long the target keeps an idle connection open according to its answer; zero if the answer did not say.
    Duration targetIdleTimeout{};

private:
    // What a peer has sent while a request is being written to it.
    enum class EarlyInput {
        None,
        Answer,
        Closed,
    };
    explicit HttpConnection(Poco::Net::StreamSocket connectedSocket)
        : socket(std::move(connectedSocket))
    {
    }

    // Finds out where the body ends.
    void readFraming(const AnswerHead &header, bool expectsBody);
    // Reads what has arrived while a request is being sent, and removes interim answers from it.
    EarlyInput readEarlyInput();
    // Removes complete interim answers from the start of `buffer`. Returns Interim if more bytes are needed to tell what follows, or more than
    // `MaxHeaderBytes` of them have come; Final or Invalid if the line of such a status has arrived.
    StatusKind skipInterimAnswers();
    // Returns Broken and remembers why.
    ReadStatus breakOff(AnswerFault reason);
    // Returns true if the peer has acknowledged every byte that was sent.
    bool isRequestReceived() const;
    // Reads once from the socket into `buffer`.
    ReadStatus fillBuffer(const Wait &wait);
    // Decode buffered bytes of a body and append them to `data`. Return Timeout if more bytes are needed.
    ReadStatus decodeChunked(std::string &data);
    ReadStatus decodeFixedLength(std::string &data);
    // Decides whether the answer is complete where it ends. Returns End or Broken.
    ReadStatus endAnswer(bool isFramingReached);

    Poco::Net::StreamSocket socket;
    // Hashes of the ids of the requests that were sent.
    std::vector<uint64_t> carriedIds;
    // Bytes received and not yet decoded.
    std::string buffer;
    AnswerFraming framing = AnswerFraming::None;
    AnswerFault answerFault = AnswerFault::None;
    // Bytes of interim answers before the current answer.
    size_t interimBytes = 0;
    ChunkDecoder chunks;
    // Bytes left of a body with a length.
    uint64_t remaining = 0;
    bool closedByPeer = false;
    bool complete = false;
    bool targetKeepsAlive = false;
    bool requestSent = true;
    // A write has reported that the peer reset the connection; the socket reports it once.
    bool resetByPeer = false;
    // Bytes of a request were sent, and the end of its answer has not been read.
    bool awaitsAnswer = false;
};

} // namespace pimentosail
