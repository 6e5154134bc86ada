// The functions of `HttpExchange` that write answers.
#include <array>
#include <charconv>
#include <sstream>
#include <utility>

#include <poll.h>
#include <sys/socket.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>

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
    if (!this->isBodyRead && this->framing() != Framing::None) {
        this->response.setKeepAlive(false);
    }
}

void HttpExchange::setHeader(const std::string &name, const std::string &value)
{
    this->response.set(name, value);
}

void HttpExchange::send(int status, const std::string &contentType, const std::string &body)
{
    this->closeIfBodyIsUnread();
    this->response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    this->response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status)));
    this->response.setContentType(contentType);
    this->response.setContentLength64(static_cast<Poco::Int64>(body.size()));
    this->sendAnswer(this->method() == Poco::Net::HTTPRequest::HTTP_HEAD ? std::string_view() : body);
}

void HttpExchange::sendWithHeaders(int status, const std::vector<std::pair<std::string, std::string>> &headers, const std::string &body, bool hasBody)
{
    this->closeIfBodyIsUnread();
    const auto code = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status);
    this->response.setStatusAndReason(code);
    for (const auto &[name, value] : headers) {
        this->response.add(name, value);
    }
    if (hasBody && code != Poco::Net::HTTPResponse::HTTP_NO_CONTENT && code != Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED) {
        this->response.setContentLength64(static_cast<Poco::Int64>(body.size()));
    }
    this->sendAnswer(hasBody ? body : std::string_view());
}

void HttpExchange::useBuffers(CallerBuffers &buffers)
{
    this->writer.emplace(buffers, this->callerSocket());
}

std::string HttpExchange::headerText() const
{
    std::ostringstream text;
    this->response.write(text);
    return std::move(text).str();
}

void HttpExchange::sendAnswer(std::string_view body)
{
    if (this->writer) {
        std::string header = this->headerText();
        this->isHeaderWritten = true;
        const bool isCopied = body.size() <= MaxCopiedBody;
        if (isCopied) {
            header += body;
        }
        if (!this->writer->write(header) || (!isCopied && !this->writer->write(body))) {
            this->abort();
        }
        return;
    }
    std::ostream &out = this->response.send();
    out.write(body.data(), static_cast<std::streamsize>(body.size()));
    out.flush();
    if (!out.good()) {
        this->abort();
    }
}

void HttpExchange::startStreamWithHeaders(int status, const std::vector<std::pair<std::string, std::string>> &headers)
{
    this->closeIfBodyIsUnread();
    this->response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    for (const auto &[name, value] : headers) {
        this->response.add(name, value);
    }
    this->response.setChunkedTransferEncoding(true);
    if (this->writer) {
        this->isHeaderWritten = true;
        this->isChunked = true;
        if (!this->writer->write(this->headerText())) {
            throw Failure(ErrorKind::Cancelled, "the caller has disconnected");
        }
        return;
    }
    this->stream = &this->response.send();
}

void HttpExchange::endStream()
{
    if (std::exchange(this->isChunked, false) && !this->writer->write("0\r\n\r\n")) {
        this->abort();
    }
}

bool HttpExchange::finish(const Clock &clock, const Interrupt &interrupt)
{
    if (!this->writer) {
        return true;
    }
    while (this->writer->hasPending() && !interrupt.isSet()) {
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
    this->response.setKeepAlive(false);
    auto *implementation = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&this->request);
    if (implementation != nullptr) {
        // POCO's chunked stream writes the last chunk when it is destroyed, which would mark the answer as complete;
        // the shutdown makes this write fail.
        ::shutdown(implementation->socket().impl()->sockfd(), SHUT_RDWR);
    }
}

int HttpExchange::callerSocket() const
{
    auto *implementation = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&this->request);
    return implementation == nullptr ? -1 : implementation->socket().impl()->sockfd();
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
        this->response.set("Retry-After", std::to_string(answer.retryAfterSeconds));
    }
    this->sendJson(answer.httpStatus, errorBody(error, requestId));
}

void HttpExchange::startStream(const std::string &contentType)
{
    this->closeIfBodyIsUnread();
    this->response.setStatus(Poco::Net::HTTPResponse::HTTP_OK);
    this->response.setContentType(contentType);
    this->response.setChunkedTransferEncoding(true);
    this->response.set("Cache-Control", "no-store");
    this->stream = &this->response.send();
}

void HttpExchange::write(const std::string &data)
{
    if (this->writer) {
        std::array<char, 16> size;
        const std::to_chars_result end = std::to_chars(size.data(), size.data() + size.size(), data.size(), 16);
        std::string chunk;
        chunk.reserve(data.size() + size.size() + 4);
        chunk.append(size.data(), end.ptr).append("\r\n").append(data).append("\r\n");
        if (!data.empty() && !this->writer->write(chunk)) {
            throw Failure(ErrorKind::Cancelled, "the caller has disconnected");
        }
        return;
    }
    try {
        this->stream->write(data.data(), static_cast<std::streamsize>(data.size()));
        this->stream->flush();
    } catch (const Poco::Exception &) {
        this->stream->setstate(std::ios::badbit);
    }
    if (!this->stream->good()) {
        throw Failure(ErrorKind::Cancelled, "the caller has disconnected");
    }
}

bool HttpExchange::isCallerDisconnected() const
{
    return isPeerClosed(this->callerSocket());
}

} // namespace pimentosail
