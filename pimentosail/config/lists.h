// The two configuration lists that operators keep in version control: plans.yaml contains the plans and their teams,
// allowances.yaml contains the models, services and cache stores and what each plan may use of them.
//
//     Diagnostics problems;
//     std::optional<Lists> lists = parseLists(plansText, allowancesText, problems);
//     if (!lists) { std::cerr << formatDiagnostics(problems); }
//
// The structures are plain data; share them as `std::shared_ptr<const Lists>`.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/config/yamlreader.h"

namespace pimentosail
{

// Urgency of a request. Requests of a higher priority are placed first, and Batch requests can be preempted.
enum class Priority {
    Batch,
    Standard,
    Interactive,
};

// Returns the name of `priority` as written in the lists and in requests.
std::string_view priorityName(Priority priority);

// Returns the priority called `name`, if there is one.
std::optional<Priority> priorityFromName(std::string_view name);

// A team of a customer. Its callers authenticate with a bearer key, of which only the SHA-256 digest is stored.
struct Team
{
    std::string name;
    // 64 lower-case hexadecimal digits.
    std::string keySha256;
    // Index into `Lists::plans`.
    size_t plan = 0;
};

// A plan, with the defaults for the requests of its teams.
struct Plan
{
    std::string name;
    Priority priority = Priority::Standard;
    // Default time, from the arrival of a request, within which the first token must be sent.
    Duration firstTokenWithin{};
    // Default time, from the arrival of a request, within which the complete answer must be sent.
    Duration finishWithin{};
};

// A model and the pool of targets that serve it.
struct Model
{
    std::string name;
    std::string pool;
    int64_t version = 1;
    // Largest number of requests that run at once on a cold target.
    int64_t coldLimit = 2;
    // Largest number of requests that run at once on a warm target.
    int64_t warmLimit = 8;
    // True if the targets refuse a load order with an old fencing token.
    bool checksFencing = true;
    // Largest number of targets that load weights at once.
    int64_t maxLoading = 2;
    int64_t maxPromptTokens = 0;
    int64_t maxAnswerTokens = 0;
    // Size of a KV-cache block in tokens, and KV-cache size of a token in bytes.
    int64_t blockTokens = 4000;
    int64_t cacheBytesPerToken = 0;
};

// A service other than a model engine.
struct Service
{
    std::string name;
    std::string pool;
    // True if calls are idempotent, so that a call may be repeated.
    bool repeatable = false;
    Duration timeout{};
};

// A KV-cache store: its capacity, and the rate of the link to each of its tiers.
struct CacheStoreSettings
{
    std::string name;
    int64_t memoryBytes = 0;
    int64_t diskBytes = 0;
    int64_t memoryLinkBytesPerSecond = 0;
    int64_t diskLinkBytesPerSecond = 0;
};

// What the teams of one plan may use. Each team of the plan has its own full allowance.
struct Allowance
{
    std::string plan;
    std::vector<std::string> models;
    std::vector<std::string> services;
    // Rate and largest burst of the team's token bucket.
    int64_t tokensPerSecond = 0;
    int64_t burstTokens = 0;
    // Largest number of requests that the team may run at once.
    int64_t concurrent = 0;
};

// The contents of both configuration lists after they were checked.
struct Lists
{
    std::vector<Plan> plans;
    std::vector<Team> teams;
    std::vector<Model> models;
    std::vector<Service> services;
    std::vector<CacheStoreSettings> cacheStores;
    // In the order of `plans`, one for each plan.
    std::vector<Allowance> allowances;

    // Each lookup by name or digest returns null if there is no match.
    const Team *teamByKeyDigest(std::string_view digest) const;
    const Team *teamByName(std::string_view name) const;
    const Model *model(std::string_view name) const;
    const Service *service(std::string_view name) const;

    // Returns the allowance of the team's plan.
    const Allowance &allowanceOf(const Team &team) const;
};

// Parses and checks both lists. On any problem, adds all of them to `problems` and returns nothing.
std::optional<Lists> parseLists(const std::string &plansText, const std::string &allowancesText, Diagnostics &problems);

} // namespace pimentosail
