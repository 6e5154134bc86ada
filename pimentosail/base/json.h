// Parsing and printing of JSON values with typed field access. The values are those of jsoncpp, which libjsonrpccpp
// uses too. All functions are thread-safe.
//
//     Json::Value value = parseJson(text);           // throws Failure(BadRequest)
//     std::string name = jsonString(value, "name");  // "" if absent
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <json/value.h>

namespace pimentosail
{

// Parses one JSON document. Throws `Failure` (BadRequest) if it is malformed, nested over 32 levels or not UTF-8.
Json::Value parseJson(std::string_view text);

// Prints `value` on one line without spaces.
std::string printJson(const Json::Value &value);

// Prints `value` over several lines with an indentation of two spaces.
std::string printJsonIndented(const Json::Value &value);

// Returns the string field `name`, or `fallback` if it is absent or null. Throws `Failure` (BadRequest) on another type.
std::string jsonString(const Json::Value &object, const char *name, const std::string &fallback = "");

// Returns the integer field `name`, or `fallback` if it is absent or null. Throws `Failure` (BadRequest) on another type.
int64_t jsonInteger(const Json::Value &object, const char *name, int64_t fallback = 0);

// Returns the boolean field `name`, or `fallback` if it is absent or null. Throws `Failure` (BadRequest) on another type.
bool jsonBoolean(const Json::Value &object, const char *name, bool fallback = false);

// Returns true if `text` is well-formed UTF-8.
bool isUtf8(std::string_view text);

} // namespace pimentosail
