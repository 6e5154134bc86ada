// The functions of `HttpExchange` that write answers.
#include <array>
#include <charconv>
#include <utility>

#include <poll.h>
#include <sys/socket.h>

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Timestamp.h>

#include "pimentosail/base/json.h"
#include "pimentosail/base/socketstate.h"
#include "pimentosail/net/httpserver.h"

namespace pimentosail
{

namespace
{

// Larger bodies are not copied behind their header before they are written.
constexpr size_t MaxCopiedBody = 64 * 1024;
// How often the wait for a slow caller checks whether it reads at all.
constexpr int FinishPollMilliseconds = 500;
// An answer ends if its caller, who keeps the connection open, takes nothing for this time.
constexpr Duration MaxReaderPause = std::chrono::seconds(15);

} // namespace

void HttpExchange::closeIfBodyIsUnread()
{
    if (!this->isBodyRead && this->request.framing != BodyFraming::None) {
        this->keepsAlive = false;
    }
}

void HttpExchange::setHeader(const std::string &name, const std::string &value)
{
    std::erase_if(this->answerHeaders, [&name](const auto &header) { return isSameHeader(header.first, name); });
    this->answerHeaders.emplace_back(name, value);
}

std::string HttpExchange::headText(int status, const HeaderList &headers) const
{
    const auto code = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status);
    HeadWriter writer("HTTP/1.1 " + std::to_string(status) + " " + Poco::Net::HTTPResponse::getReasonForStatus(code));
    bool hasDate = false;
    for (const HeaderList *list : {&headers, &this->answerHeaders}) {
        for (const auto &[name, value] : *list) {
            writer.add(name, value);
            hasDate = hasDate || isSameHeader(name, "Date");
        }
    }
    if (!hasDate) {
        writer.add("Date", Poco::DateTimeFormatter::format(Poco::Timestamp(), Poco::DateTimeFormat::HTTP_FORMAT));
    }
    writer.add("Connection", this->keepsAlive ? "Keep-Alive" : "Close");
    return writer.finish();
}

void HttpExchange::send(int status, const std::string &contentType, const std::string &body)
{
    this->sendWithHeaders(status, {{"Content-Type", contentType}}, body, this->method() != "HEAD");
}

void HttpExchange::sendWithHeaders(int status, const HeaderList &headers, const std::string &body, bool hasBody)
{
    this->closeIfBodyIsUnread();
    HeaderList all = headers;
    const bool hasLength = hasBody && status != Poco::Net::HTTPResponse::HTTP_NO_CONTENT && status != Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
    if (hasLength) {
        all.emplace_back("Content-Length", std::to_string(body.size()));
    }
    this->sendAnswer(this->headText(status, all), hasLength ? body : std::string_view());
}

void HttpExchange::useBuffers(CallerBuffers &buffers)
{
    this->writer.emplace(buffers, this->callerSocket());
}

bool HttpExchange::writeBytes(std::string_view bytes)
{
    return this->writer ? this->writer->write(bytes) : this->connection.send(bytes);
}

void HttpExchange::sendAnswer(std::string head, std::string_view body)
{
    this->isHeaderWritten = true;
    const bool isCopied = body.size() <= MaxCopiedBody;
    if (isCopied) {
        head += body;
    }
    if (!this->writeBytes(head) || (!isCopied && !this->writeBytes(body))) {
        this->abort();
    }
}

void HttpExchange::startChunks(int status, HeaderList headers)
{
    this->closeIfBodyIsUnread();
    headers.emplace_back("Transfer-Encoding", "chunked");
    const std::string head = this->headText(status, headers);
    this->isHeaderWritten = true;
    this->isChunked = true;
    if (!this->writeBytes(head)) {
        throw Failure(ErrorKind::Cancelled, "the caller has disconnected");
    }
}

void HttpExchange::startStreamWithHeaders(int status, const HeaderList &headers)
{
    this->startChunks(status, headers);
}

void HttpExchange::startStream(const std::string &contentType)
{
    this->startChunks(Poco::Net::HTTPResponse::HTTP_OK, {{"Content-Type", contentType}, {"Cache-Control", "no-store"}});
}

void HttpExchange::endStream()
{
    if (std::exchange(this->isChunked, false) && !this->writeBytes("0\r\n\r\n")) {
        this->abort();
    }
}

bool HttpExchange::finish(const Clock &clock, const Interrupt &interrupt)
{
    if (!this->writer) {
        return true;
    }
    const WaitLimit::Place place(this->writer->hasPending() ? this->waits : nullptr);
    while (this->writer->hasPending() && !interrupt.isSet() && place.isFree() && !this->mustBeRefused()) {
        std::array<pollfd, 2> entries{pollfd{this->callerSocket(), POLLOUT | POLLRDHUP, 0}, pollfd{interrupt.descriptor(), POLLIN, 0}};
        ::poll(entries.data(), entries.size(), FinishPollMilliseconds);
        const bool isOpen = (entries[0].revents & ~POLLOUT) == 0 || !this->isCallerDisconnected();
        if (!isOpen || !this->writer->flush() || clock.now() - this->writer->lastProgress() > MaxReaderPause) {
            break;
        }
    }
    const bool isWritten = !this->writer->hasPending() && !this->writer->wasEnded();
    if (!isWritten) {
        this->abort();
    }
    return isWritten;
}

void HttpExchange::abort()
{
    this->isChunked = false;
    this->keepsAlive = false;
    this->connection.shutDown();
}

void HttpExchange::sendJson(int status, const Json::Value &value)
{
    this->send(status, "application/json", printJson(value) + "\n");
}

Json::Value errorBody(const Error &error, const std::string &requestId)
{
    Json::Value value;
    value["error"]["kind"] = std::string(errorName(error.kind));
    value["error"]["message"] = error.message;
    value["error"]["not_run"] = error.notRun;
    value["error"]["request_id"] = requestId;
    return value;
}

void HttpExchange::sendError(const Error &error, const std::string &requestId)
{
    const ErrorAnswer &answer = answerFor(error.kind);
    if (answer.retryAfterSeconds > 0) {
        this->setHeader("Retry-After", std::to_string(answer.retryAfterSeconds));
    }
    this->sendJson(answer.httpStatus, errorBody(error, requestId));
}

void HttpExchange::write(const std::string &data)
{
    std::array<char, 16> size;
    const std::to_chars_result end = std::to_chars(size.data(), size.data() + size.size(), data.size(), 16);
    std::string chunk;
    chunk.reserve(data.size() + size.size() + 4);
    chunk.append(size.data(), end.ptr).append("\r\n").append(data).append("\r\n");
    if (!data.empty() && !this->writeBytes(chunk)) {
        throw Failure(ErrorKind::Cancelled, "the caller has disconnected");
    }
}

bool HttpExchange::isCallerDisconnected() const
{
    return isPeerClosed(this->callerSocket());
}

} // namespace pimentosail
