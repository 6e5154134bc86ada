#include "pimentosail/config/lists.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

constexpr const char *PlansFile = "plans.yaml";
constexpr const char *AllowancesFile = "allowances.yaml";
constexpr int64_t MaxMilliseconds = 24LL * 3600 * 1000;
constexpr int64_t MaxSeconds = 7LL * 24 * 3600;
constexpr int64_t MaxCount = 1'000'000'000;
constexpr int64_t MaxBytes = 1LL << 50U;
constexpr size_t Sha256HexLength = 64;

constexpr std::array<std::string_view, 3> PriorityNames{"batch", "standard", "interactive"};

template <typename Item>
std::vector<std::string> namesOf(const std::vector<Item> &items)
{
    std::vector<std::string> names;
    names.reserve(items.size());
    for (const Item &item : items) {
        names.push_back(item.name);
    }
    return names;
}

template <typename Item>
const Item *findByName(const std::vector<Item> &items, std::string_view name)
{
    for (const Item &item : items) {
        if (item.name == name) {
            return &item;
        }
    }
    return nullptr;
}

template <typename Item>
std::string readUniqueName(MapReader &reader, const std::vector<Item> &items)
{
    std::string name = reader.requiredString("name");
    if (!name.empty() && findByName(items, name) != nullptr) {
        reader.report("name", "the name '" + name + "' is used twice");
    }
    return name;
}

void checkReferences(MapReader &reader, const std::string &key, const std::vector<std::string> &used, const std::vector<std::string> &definedNames)
{
    for (const std::string &name : used) {
        if (std::find(definedNames.begin(), definedNames.end(), name) == definedNames.end()) {
            const std::string nearest = nearestName(name, definedNames);
            reader.report(key, "'" + name + "' is not defined" + (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
        }
    }
}

void readTeam(MapReader &reader, Lists &lists)
{
    Team team;
    team.name = readUniqueName(reader, lists.teams);
    team.keySha256 = reader.requiredString("key_sha256");
    team.plan = lists.plans.size();
    const bool isHex = team.keySha256.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!team.keySha256.empty() && (team.keySha256.size() != Sha256HexLength || !isHex)) {
        reader.report("key_sha256", "key 'key_sha256': expected 64 lower-case hexadecimal digits");
    }
    if (lists.teamByKeyDigest(team.keySha256) != nullptr) {
        reader.report("key_sha256", "two teams have the same key");
    }
    lists.teams.push_back(std::move(team));
}

void readPlan(MapReader &reader, Lists &lists)
{
    Plan plan;
    plan.name = readUniqueName(reader, lists.plans);
    const std::vector<std::string> choices(PriorityNames.begin(), PriorityNames.end());
    plan.priority = *priorityFromName(reader.choice("priority", "standard", choices));
    plan.firstTokenWithin = Milliseconds(reader.integer("first_token_ms", 10000, 1, MaxMilliseconds));
    plan.finishWithin = std::chrono::seconds(reader.integer("finish_within_s", 300, 1, MaxSeconds));
    reader.eachMap("teams", [&lists](MapReader &team) { readTeam(team, lists); });
    lists.plans.push_back(std::move(plan));
}

void readModel(MapReader &reader, Lists &lists)
{
    Model model;
    model.name = readUniqueName(reader, lists.models);
    model.pool = reader.requiredString("pool");
    model.version = reader.integer("version", 1, 1, MaxCount);
    model.coldLimit = reader.integer("cold_limit", 2, 1, 1000);
    model.warmLimit = reader.integer("warm_limit", 8, 1, 1000);
    model.checksFencing = reader.boolean("checks_fencing", true);
    model.maxLoading = reader.integer("max_loading", 2, 1, 1000);
    model.maxPromptTokens = reader.integer("max_prompt_tokens", 200'000, 1, MaxCount);
    model.maxAnswerTokens = reader.integer("max_answer_tokens", 4096, 1, MaxCount);
    model.blockTokens = reader.integer("piece_tokens", 4000, 1, 1'000'000);
    model.cacheBytesPerToken = reader.integer("cache_bytes_per_token", 100'000, 1, MaxCount);
    if (model.coldLimit > model.warmLimit) {
        reader.report("cold_limit", "key 'cold_limit': expected at most warm_limit (" + std::to_string(model.warmLimit) + ")");
    }
    lists.models.push_back(std::move(model));
}

void readService(MapReader &reader, Lists &lists)
{
    Service service;
    service.name = readUniqueName(reader, lists.services);
    service.pool = reader.requiredString("pool");
    service.repeatable = reader.boolean("repeatable", false);
    service.timeout = Milliseconds(reader.integer("timeout_ms", 10'000, 1, MaxMilliseconds));
    lists.services.push_back(std::move(service));
}

void readCacheStore(MapReader &reader, Lists &lists)
{
    CacheStoreSettings store;
    store.name = readUniqueName(reader, lists.cacheStores);
    store.memoryBytes = reader.requiredInteger("memory_bytes", 0, MaxBytes);
    store.diskBytes = reader.requiredInteger("disk_bytes", 0, MaxBytes);
    store.memoryLinkBytesPerSecond = reader.requiredInteger("memory_link_bytes_per_s", 1, MaxBytes);
    store.diskLinkBytesPerSecond = reader.requiredInteger("disk_link_bytes_per_s", 1, MaxBytes);
    lists.cacheStores.push_back(std::move(store));
}

void readAllowance(MapReader &reader, Lists &lists)
{
    Allowance allowance;
    allowance.plan = reader.requiredString("plan");
    checkReferences(reader, "plan", {allowance.plan}, namesOf(lists.plans));
    allowance.models = reader.strings("models");
    allowance.services = reader.strings("services");
    checkReferences(reader, "models", allowance.models, namesOf(lists.models));
    checkReferences(reader, "services", allowance.services, namesOf(lists.services));
    allowance.tokensPerSecond = reader.requiredInteger("tokens_per_second", 1, MaxCount);
    allowance.burstTokens = reader.integer("burst_tokens", allowance.tokensPerSecond, 1, MaxCount);
    allowance.concurrent = reader.integer("concurrent", 1000, 1, MaxCount);
    for (const Allowance &other : lists.allowances) {
        if (other.plan == allowance.plan) {
            reader.report("plan", "plan '" + allowance.plan + "' has two allowances");
        }
    }
    lists.allowances.push_back(std::move(allowance));
}

// Sorts the allowances into the order of the plans, and reports plans that have none.
void alignAllowances(Lists &lists, Diagnostics &problems)
{
    std::vector<Allowance> ordered;
    for (const Plan &plan : lists.plans) {
        const auto found = std::find_if(lists.allowances.begin(), lists.allowances.end(), [&plan](const Allowance &item) { return item.plan == plan.name; });
        if (found == lists.allowances.end()) {
            problems.push_back({AllowancesFile, 1, 1, "plan '" + plan.name + "' has no allowance"});
            continue;
        }
        ordered.push_back(*found);
    }
    lists.allowances = std::move(ordered);
}

} // namespace

std::string_view priorityName(Priority priority)
{
    return PriorityNames.at(static_cast<size_t>(priority));
}

std::optional<Priority> priorityFromName(std::string_view name)
{
    for (size_t index = 0; index < PriorityNames.size(); ++index) {
        if (PriorityNames.at(index) == name) {
            return static_cast<Priority>(index);
        }
    }
    return std::nullopt;
}

const Team *Lists::teamByKeyDigest(std::string_view digest) const
{
    for (const Team &team : this->teams) {
        if (team.keySha256 == digest) {
            return &team;
        }
    }
    return nullptr;
}

const Team *Lists::teamByName(std::string_view name) const
{
    return findByName(this->teams, name);
}

const Model *Lists::model(std::string_view name) const
{
    return findByName(this->models, name);
}

const Service *Lists::service(std::string_view name) const
{
    return findByName(this->services, name);
}

const Allowance &Lists::allowanceOf(const Team &team) const
{
    return this->allowances.at(team.plan);
}

std::optional<Lists> parseLists(const std::string &plansText, const std::string &allowancesText, Diagnostics &problems)
{
    Lists lists;
    const YAML::Node plans = parseYaml(plansText, PlansFile, problems);
    const YAML::Node allowances = parseYaml(allowancesText, AllowancesFile, problems);
    if (!problems.empty()) {
        return std::nullopt;
    }
    MapReader plansReader(plans, PlansFile, problems);
    plansReader.eachMap("plans", [&lists](MapReader &reader) { readPlan(reader, lists); });
    plansReader.finish();
    MapReader allowancesReader(allowances, AllowancesFile, problems);
    allowancesReader.eachMap("models", [&lists](MapReader &reader) { readModel(reader, lists); });
    allowancesReader.eachMap("services", [&lists](MapReader &reader) { readService(reader, lists); });
    allowancesReader.eachMap("stores", [&lists](MapReader &reader) { readCacheStore(reader, lists); });
    allowancesReader.eachMap("allowances", [&lists](MapReader &reader) { readAllowance(reader, lists); });
    allowancesReader.finish();
    if (problems.empty() && lists.plans.empty()) {
        problems.push_back({PlansFile, 1, 1, "expected at least one plan under 'plans'"});
    }
    alignAllowances(lists, problems);
    if (!problems.empty()) {
        return std::nullopt;
    }
    return lists;
}

} // namespace pimentosail
