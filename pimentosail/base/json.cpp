#include "pimentosail/base/json.h"

#include <memory>

#include <Poco/UTF8Encoding.h>
#include <json/reader.h>
#include <json/writer.h>

#include "pimentosail/base/error.h"

namespace pimentosail
{

namespace
{

// Limits the recursion of the parser, so that nested input from a caller can't exhaust the stack.
constexpr int MaxDepth = 32;

Json::CharReaderBuilder makeReaderBuilder()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["stackLimit"] = MaxDepth;
    return builder;
}

std::string writeJson(const Json::Value &value, const char *indentation)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = indentation;
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

[[noreturn]] void throwWrongType(const char *name, const char *expected)
{
    throw Failure(ErrorKind::BadRequest, std::string("field '") + name + "' must be " + expected);
}

const Json::Value *findField(const Json::Value &object, const char *name)
{
    if (!object.isObject() || !object.isMember(name) || object[name].isNull()) {
        return nullptr;
    }
    return &object[name];
}

} // namespace

Json::Value parseJson(std::string_view text)
{
    if (!isUtf8(text)) {
        throw Failure(ErrorKind::BadRequest, "the body is not valid UTF-8");
    }
    static const Json::CharReaderBuilder builder = makeReaderBuilder();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    bool parsed = false;
    try {
        parsed = reader->parse(text.data(), text.data() + text.size(), &value, &errors);
    } catch (const Json::Exception &exception) {
        errors = exception.what();
    }
    if (!parsed) {
        throw Failure(ErrorKind::BadRequest, "malformed JSON: " + errors.substr(0, 200));
    }
    return value;
}

std::string printJson(const Json::Value &value)
{
    return writeJson(value, "");
}

std::string printJsonIndented(const Json::Value &value)
{
    return writeJson(value, "  ");
}

std::string jsonString(const Json::Value &object, const char *name, const std::string &fallback)
{
    const Json::Value *field = findField(object, name);
    if (field == nullptr) {
        return fallback;
    }
    if (!field->isString()) {
        throwWrongType(name, "a string");
    }
    return field->asString();
}

int64_t jsonInteger(const Json::Value &object, const char *name, int64_t fallback)
{
    const Json::Value *field = findField(object, name);
    if (field == nullptr) {
        return fallback;
    }
    if (!field->isInt64()) {
        throwWrongType(name, "an integer");
    }
    return field->asInt64();
}

bool jsonBoolean(const Json::Value &object, const char *name, bool fallback)
{
    const Json::Value *field = findField(object, name);
    if (field == nullptr) {
        return fallback;
    }
    if (!field->isBool()) {
        throwWrongType(name, "true or false");
    }
    return field->asBool();
}

bool isUtf8(std::string_view text)
{
    const auto *bytes = reinterpret_cast<const unsigned char *>(text.data());
    size_t position = 0;
    while (position < text.size()) {
        if (bytes[position] < 0x80) {
            ++position;
            continue;
        }
        const int length = (bytes[position] & 0xE0U) == 0xC0 ? 2 : (bytes[position] & 0xF0U) == 0xE0 ? 3 : (bytes[position] & 0xF8U) == 0xF0 ? 4 : 0;
        if (length == 0 || position + static_cast<size_t>(length) > text.size() || !Poco::UTF8Encoding::isLegal(bytes + position, length)) {
            return false;
        }
        position += static_cast<size_t>(length);
    }
    return true;
}

} // namespace pimentosail
