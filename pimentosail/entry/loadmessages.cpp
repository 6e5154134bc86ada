#include "pimentosail/entry/loadmessages.h"

#include <algorithm>
#include <map>
#include <optional>

#include "pimentosail/base/error.h"
#include "pimentosail/base/json.h"
#include "pimentosail/entry/binarymessage.h"

namespace pimentosail
{

namespace
{

constexpr char FirstByteOfJson = '{';
// Rows of each list in a datagram. A datagram of 60 KiB has no more rows than this.
constexpr uint64_t MaxRows = 8192;
// A datagram has at most this many notices and limits; the newest are sent.
constexpr size_t MaxSentNotices = 500;
// No prompt waits at a target for longer.
constexpr Duration MaxSaveTime = std::chrono::minutes(10);
// Times of saves are sent in this unit, rounded up.
constexpr Duration SaveTimeUnit = Milliseconds(100);

uint64_t ageOf(Time at, Time now)
{
    return toUnsigned(toMilliseconds(now - at));
}

void writeLoads(MessageWriter &writer, const std::vector<TargetLoad> &loads)
{
    writer.number(loads.size());
    for (const TargetLoad &load : loads) {
        writer.name(load.target);
        writer.number(toUnsigned(load.requests));
        writer.number(toUnsigned(load.pendingTokens));
        writer.number(toUnsigned(load.lateTokens));
        writer.number(toUnsigned(load.heldTokens));
    }
}

// Limits are written in thousandths of a request a second, plus one; 0 stands for no limit.
void writeLimits(MessageWriter &writer, const std::vector<RateLimitObservation> &limits, Time now)
{
    const size_t count = std::min(limits.size(), MaxSentNotices);
    writer.number(count);
    for (size_t index = 0; index < count; ++index) {
        const RateLimitObservation &limit = limits[index];
        writer.name(limit.target);
        writer.number(toUnsigned(limit.startedAt));
        writer.number(limit.requestsPerSecond ? 1 + static_cast<uint64_t>(std::clamp(*limit.requestsPerSecond * 1000, 0.0, 1e15)) : 0);
        writer.number(ageOf(limit.observedAt, now));
    }
}

void writeNotices(MessageWriter &writer, const std::vector<TargetNotice> &notices, Time now)
{
    const size_t count = std::min(notices.size(), MaxSentNotices);
    writer.number(count);
    for (size_t index = 0; index < count; ++index) {
        const TargetNotice &notice = notices[index];
        writer.byte(static_cast<uint8_t>(notice.kind));
        writer.name(notice.target);
        writer.number(toUnsigned(notice.startedAt));
        writer.number(ageOf(notice.observedAt, now));
        writer.number(toUnsigned(toMilliseconds(notice.rest)));
    }
}

void writeNumber(MessageWriter &writer, const ReportNumber &number)
{
    writer.number(number.process);
    writer.number(number.sequence);
}

// Returns true if the row's names fit a message; see `MessageReader::name`.
bool isSendable(const OutcomeRow &row)
{
    return std::max({row.key.service.size(), row.key.version.size(), row.key.route.size()}) <= MaxSentName;
}

void writeOutcomes(MessageWriter &writer, const OutcomeReport &outcomes)
{
    writer.number(outcomes.stream);
    writer.number(static_cast<uint64_t>(std::count_if(outcomes.rows.begin(), outcomes.rows.end(), isSendable)));
    for (const OutcomeRow &row : outcomes.rows) {
        if (!isSendable(row)) {
            continue;
        }
        writer.name(row.key.service);
        writer.name(row.key.version);
        writer.name(row.key.route);
        writer.number(toUnsigned(row.order.era));
        writer.number(toUnsigned(row.order.revision));
        writer.number(toUnsigned(row.counts.answers));
        writer.number(toUnsigned(row.counts.failures));
        writer.number(toUnsigned(row.counts.slow));
        writer.number(toUnsigned(row.counts.verySlow));
        writer.number(toUnsigned(row.counts.firstEvents.count()));
    }
}

void writeSaves(MessageWriter &writer, const std::vector<SaveNotice> &saves)
{
    // Rows name their process by its place in a list.
    std::map<uint64_t, uint64_t> places;
    std::vector<uint64_t> processes;
    for (const SaveNotice &save : saves) {
        if (places.emplace(save.process, processes.size()).second) {
            processes.push_back(save.process);
        }
    }
    writer.number(processes.size());
    for (const uint64_t process : processes) {
        writer.number(process);
    }
    writer.number(saves.size());
    for (const SaveNotice &save : saves) {
        writer.number(save.key);
        writer.number(places[save.process]);
        writer.number(save.number);
        writer.number(toUnsigned((save.remaining + SaveTimeUnit - Duration(1)) / SaveTimeUnit));
    }
}

// Returns the format in which `message` is written for a receiver that reads formats up to `receiverFormat`.
uint8_t formatFor(const LoadMessage &message, int receiverFormat)
{
    if (receiverFormat >= SaveLoadFormat && !message.saves.empty()) {
        return SaveLoadFormat;
    }
    return static_cast<uint8_t>(receiverFormat >= OutcomeLoadFormat && !message.outcomes.rows.empty() ? OutcomeLoadFormat : BinaryLoadFormat);
}

// Writes what follows `included` in a datagram.
std::string writeCommon(const LoadMessage &message, Time now, uint8_t format)
{
    MessageWriter writer;
    writer.name(message.sender);
    writeNumber(writer, message.number);
    writer.name(message.relay);
    writeLoads(writer, message.loads);
    writeLimits(writer, message.limits, now);
    writeNotices(writer, message.notices, now);
    if (format >= OutcomeLoadFormat) {
        writeOutcomes(writer, message.outcomes);
    }
    if (format >= SaveLoadFormat) {
        writeSaves(writer, message.saves);
    }
    return writer.take();
}

std::string writeStart(LoadMessageKind kind, const ReportNumber &included, uint8_t format)
{
    MessageWriter writer;
    writer.byte(format);
    writer.byte(static_cast<uint8_t>(kind));
    writeNumber(writer, included);
    return writer.take();
}

ReportNumber readNumber(MessageReader &reader)
{
    ReportNumber number;
    number.process = reader.number();
    number.sequence = reader.number();
    return number;
}

void readOutcomes(MessageReader &reader, OutcomeReport &outcomes)
{
    outcomes.stream = reader.number();
    for (uint64_t rows = reader.rows(MaxOutcomeRows); rows > 0; --rows) {
        OutcomeRow &row = outcomes.rows.emplace_back();
        row.key.service = reader.name();
        row.key.version = reader.name();
        row.key.route = reader.name();
        row.order.era = reader.signedNumber();
        row.order.revision = reader.signedNumber();
        row.counts.answers = reader.signedNumber();
        row.counts.failures = reader.signedNumber();
        row.counts.slow = reader.signedNumber();
        row.counts.verySlow = reader.signedNumber();
        row.counts.firstEvents = Duration(reader.signedNumber());
    }
}

void readSaves(MessageReader &reader, std::vector<SaveNotice> &saves)
{
    std::vector<uint64_t> processes;
    for (uint64_t rows = reader.rows(MaxRows); rows > 0; --rows) {
        processes.push_back(reader.number());
    }
    for (uint64_t rows = reader.rows(MaxRows); rows > 0; --rows) {
        SaveNotice &save = saves.emplace_back();
        save.key = reader.number();
        const uint64_t place = reader.number();
        if (place >= processes.size()) {
            throw Failure(ErrorKind::BadRequest, "a save in a load report names no process");
        }
        save.process = processes[place];
        save.number = reader.number();
        save.remaining = std::min<int64_t>(reader.signedNumber(), MaxSaveTime / SaveTimeUnit) * SaveTimeUnit;
    }
}

LoadMessage readMessage(std::string_view bytes, Time now)
{
    MessageReader reader(bytes);
    LoadMessage message;
    const uint8_t format = reader.byte();
    const uint8_t kind = reader.byte();
    if (format < BinaryLoadFormat || format > LoadFormat || kind > static_cast<uint8_t>(LoadMessageKind::Totals)) {
        throw Failure(ErrorKind::BadRequest, "the load report has an unknown format");
    }
    message.kind = static_cast<LoadMessageKind>(kind);
    message.included = readNumber(reader);
    message.sender = reader.name();
    message.number = readNumber(reader);
    message.relay = reader.name();
    const uint64_t loads = reader.rows(MaxRows);
    message.loads.reserve(loads);
    for (uint64_t row = 0; row < loads; ++row) {
        TargetLoad &load = message.loads.emplace_back();
        load.target = reader.name();
        load.requests = reader.signedNumber();
        load.pendingTokens = reader.signedNumber();
        load.lateTokens = reader.signedNumber();
        load.heldTokens = reader.signedNumber();
    }
    for (uint64_t rows = reader.rows(MaxRows); rows > 0; --rows) {
        RateLimitObservation &limit = message.limits.emplace_back();
        limit.target = reader.name();
        limit.startedAt = reader.signedNumber();
        const uint64_t perMille = reader.number();
        limit.requestsPerSecond = perMille == 0 ? std::nullopt : std::optional<double>(static_cast<double>(perMille - 1) / 1000);
        limit.observedAt = now - reader.age();
    }
    for (uint64_t rows = reader.rows(MaxRows); rows > 0; --rows) {
        TargetNotice notice;
        const uint8_t noticeKind = reader.byte();
        notice.kind = static_cast<NoticeKind>(noticeKind);
        notice.target = reader.name();
        notice.startedAt = reader.signedNumber();
        notice.observedAt = now - reader.age();
        notice.rest = reader.age();
        // A later version of this program may send notices of other kinds.
        if (noticeKind <= static_cast<uint8_t>(NoticeKind::Resting)) {
            message.notices.push_back(std::move(notice));
        }
    }
    if (format >= OutcomeLoadFormat) {
        readOutcomes(reader, message.outcomes);
    }
    if (format >= SaveLoadFormat) {
        readSaves(reader, message.saves);
    }
    reader.checkEnd();
    return message;
}

std::vector<TargetLoad> readLegacyLoads(const Json::Value &rows)
{
    std::vector<TargetLoad> loads;
    for (const Json::Value &row : rows) {
        loads.push_back({row[0].asString(), row[1].asInt64(), row[2].asInt64(), row[3].asInt64(), row[4].asInt64()});
    }
    return loads;
}

LoadMessage readLegacyMessage(std::string_view bytes, Time now)
{
    try {
        const Json::Value value = parseJson(bytes);
        LoadMessage message;
        const bool isTotals = value.isMember("totals");
        message.kind = isTotals ? LoadMessageKind::Totals : LoadMessageKind::Report;
        message.sender = jsonString(value, "host");
        message.relay = jsonString(value, "follows");
        message.replyAddress = jsonString(value, "gossip");
        message.loads = readLegacyLoads(value[isTotals ? "totals" : "loads"]);
        for (const Json::Value &row : value["limits"]) {
            const double limit = row[2].asDouble();
            message.limits.push_back(
                {row[0].asString(), row[1].asInt64(), limit < 0 ? std::nullopt : std::optional<double>(limit), now - Milliseconds(row[3].asInt64())});
        }
        return message;
    } catch (const Json::Exception &exception) {
        throw Failure(ErrorKind::BadRequest, exception.what());
    }
}

} // namespace

std::string encodeLoadMessage(const LoadMessage &message, Time now, int receiverFormat)
{
    const uint8_t format = formatFor(message, receiverFormat);
    return writeStart(message.kind, message.included, format) + writeCommon(message, now, format);
}

TotalsEncoder::TotalsEncoder(const LoadMessage &message, Time now, int receiverFormat)
    : format(formatFor(message, receiverFormat))
    , common(writeCommon(message, now, this->format))
{
}

std::string TotalsEncoder::makeFor(const ReportNumber &included) const
{
    return writeStart(LoadMessageKind::Totals, included, this->format) + this->common;
}

std::string encodeLegacyLoadMessage(const LoadMessage &message, Time now)
{
    Json::Value value;
    Json::Value &rows = value[message.kind == LoadMessageKind::Totals ? "totals" : "loads"];
    rows = Json::Value(Json::arrayValue);
    if (message.kind == LoadMessageKind::Report) {
        value["host"] = message.sender;
        if (!message.relay.empty()) {
            value["follows"] = message.relay;
            value["gossip"] = message.replyAddress;
        }
    }
    for (const TargetLoad &load : message.loads) {
        Json::Value row(Json::arrayValue);
        row.append(load.target);
        row.append(Json::Int64(load.requests));
        row.append(Json::Int64(load.pendingTokens));
        row.append(Json::Int64(load.lateTokens));
        row.append(Json::Int64(load.heldTokens));
        rows.append(row);
    }
    // A row is [target, start of its incarnation, limit or -1 for none, age in ms].
    value["limits"] = Json::Value(Json::arrayValue);
    for (const RateLimitObservation &observation : message.limits) {
        Json::Value row(Json::arrayValue);
        row.append(observation.target);
        row.append(Json::Int64(observation.startedAt));
        row.append(observation.requestsPerSecond.value_or(-1));
        row.append(Json::Int64(toMilliseconds(now - observation.observedAt)));
        value["limits"].append(row);
    }
    return printJson(value);
}

LoadMessage decodeLoadMessage(std::string_view bytes, Time now)
{
    return bytes.starts_with(FirstByteOfJson) ? readLegacyMessage(bytes, now) : readMessage(bytes, now);
}

} // namespace pimentosail
