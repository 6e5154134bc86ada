#include "pimentosail/membership/view.h"

#include <algorithm>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"

namespace pimentosail
{

Result<View> View::fromDocument(const std::string &document)
{
    try {
        const Json::Value value = parseJson(document);
        View view;
        view.generation = jsonInteger(value, "generation");
        view.nonce = jsonString(value, "nonce");
        for (const Json::Value &item : value["members"]) {
            view.members.push_back(
                {jsonString(item, "name"), jsonString(item, "zone"), jsonString(item, "address"), jsonString(item, "boot"), jsonBoolean(item, "established")});
        }
        for (const Json::Value &item : value["ghosts"]) {
            view.removedMembers.push_back({jsonString(item, "name"), std::max<int64_t>(1, jsonInteger(item, "divisor", 1))});
        }
        return view;
    } catch (const std::exception &exception) {
        return failed(ErrorKind::Internal, exception.what());
    }
}

std::string View::toDocument() const
{
    Json::Value value;
    value["generation"] = Json::Int64(this->generation);
    value["nonce"] = this->nonce;
    value["members"] = Json::Value(Json::arrayValue);
    value["ghosts"] = Json::Value(Json::arrayValue);
    for (const Member &member : this->members) {
        Json::Value item;
        item["name"] = member.name;
        item["zone"] = member.zone;
        item["address"] = member.address;
        item["boot"] = member.boot;
        item["established"] = member.established;
        value["members"].append(item);
    }
    for (const RemovedMember &removed : this->removedMembers) {
        Json::Value item;
        item["name"] = removed.name;
        item["divisor"] = Json::Int64(removed.divisor);
        value["ghosts"].append(item);
    }
    return printJson(value);
}

const Member *View::find(const std::string &name) const
{
    for (const Member &member : this->members) {
        if (member.name == name) {
            return &member;
        }
    }
    return nullptr;
}

std::vector<std::string> View::names() const
{
    std::vector<std::string> result;
    result.reserve(this->members.size());
    for (const Member &member : this->members) {
        result.push_back(member.name);
    }
    return result;
}

std::string View::ownerOf(const std::string &role) const
{
    return rendezvousOwner(role, this->names());
}

int64_t fallbackShare(const std::string &role, int64_t limit, const std::string &host, const std::vector<std::string> &members)
{
    const std::vector<std::string> order = rendezvousOrder(role, members);
    const auto found = std::find(order.begin(), order.end(), host);
    if (found == order.end()) {
        return 0;
    }
    const auto count = static_cast<int64_t>(order.size());
    const int64_t rank = found - order.begin();
    return limit / count + (rank < limit % count ? 1 : 0);
}

} // namespace pimentosail
