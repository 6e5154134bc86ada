#include "pimentosail/rollout/announcement.h"

#include "pimentosail/base/error.h"
#include "pimentosail/base/json.h"

namespace pimentosail
{

namespace
{

Json::Value toJsonArray(const std::vector<std::string> &names)
{
    Json::Value array(Json::arrayValue);
    for (const std::string &name : names) {
        array.append(name);
    }
    return array;
}

std::vector<std::string> fromJsonArray(const Json::Value &array)
{
    std::vector<std::string> names;
    for (const Json::Value &name : array) {
        if (!name.isString()) {
            throw Failure(ErrorKind::BadRequest, "a target's name must be a string");
        }
        names.push_back(name.asString());
    }
    return names;
}

} // namespace

std::string encodeAnnouncement(const RolloutAnnouncement &announcement)
{
    Json::Value value;
    value["fence"] = Json::Int64(announcement.fencingToken);
    value["loading"] = toJsonArray(announcement.loading);
    value["released"] = toJsonArray(announcement.released);
    value["finished"] = Json::Value(Json::arrayValue);
    for (const FinishedLoad &load : announcement.finished) {
        Json::Value row;
        row["target"] = load.target;
        row["model"] = load.model;
        row["version"] = Json::Int64(load.version);
        value["finished"].append(row);
    }
    for (const auto &[target, version] : announcement.loadingVersions) {
        value["loading_versions"][target] = Json::Int64(version);
    }
    if (announcement.ordered) {
        value["ordered"] = toJsonArray(*announcement.ordered);
    }
    if (announcement.isHandOver) {
        value["hand_over"] = true;
    }
    return printJson(value);
}

RolloutAnnouncement decodeAnnouncement(const std::string &value)
{
    const Json::Value document = parseJson(value);
    RolloutAnnouncement announcement;
    announcement.fencingToken = jsonInteger(document, "fence");
    announcement.loading = fromJsonArray(document["loading"]);
    announcement.released = fromJsonArray(document["released"]);
    for (const Json::Value &row : document["finished"]) {
        announcement.finished.push_back({jsonString(row, "target"), jsonString(row, "model"), jsonInteger(row, "version")});
    }
    if (document["loading_versions"].isObject()) {
        for (const std::string &target : document["loading_versions"].getMemberNames()) {
            announcement.loadingVersions[target] = jsonInteger(document["loading_versions"], target.c_str());
        }
    }
    if (document.isMember("ordered")) {
        if (!document["ordered"].isArray()) {
            throw Failure(ErrorKind::BadRequest, "the ordered targets must be an array");
        }
        announcement.ordered = fromJsonArray(document["ordered"]);
    }
    announcement.isHandOver = document["hand_over"].isBool() && document["hand_over"].asBool();
    return announcement;
}

} // namespace pimentosail
