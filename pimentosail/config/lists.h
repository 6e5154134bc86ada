// The two lists that operators keep in version control: the plans, and what each plan may use.
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

// How urgent a request is. A higher priority goes first; Batch can be preempted.
enum class Priority {
    Batch,
    Standard,
    Interactive,
};

// Returns the name of `priority` as written in the lists and in requests.
std::string_view priorityName(Priority priority);

// Returns the priority called `name`, if there is one.
std::optional<Priority> priorityFromName(std::string_view name);

// A customer's team. Callers name it by a bearer key, of which only the digest is kept.
struct Team
{
    std::string name;
    std::string keySha256;
    // Index into `Lists::plans`.
    size_t plan = 0;
};

// A plan: defaults for the requests of its teams.
struct Plan
{
    std::string name;
    Priority priority = Priority::Standard;
    // Default deadline of the first token.
    Duration firstToken{};
    // Default time within which the whole answer must be finished.
    Duration finishWithin{};
};

// A model and the targets (workers of one pool) that serve it.
struct Model
{
    std::string name;
    std::string pool;
    int64_t version = 1;
    // Most requests at once on a target in a cold start.
    int64_t coldLimit = 2;
    // Most requests at once on a warm target.
    int64_t warmLimit = 8;
    // True if the targets refuse an order with an old fencing number.
    bool checksFencing = true;
    // Most targets that load weights at once.
    int64_t maxLoading = 2;
    int64_t maxPromptTokens = 0;
    int64_t maxAnswerTokens = 0;
    // Size of one cache piece in tokens and of a token's cache in bytes.
    int64_t pieceTokens = 4000;
    int64_t cacheBytesPerToken = 0;
};

// A plain service beside the engines.
struct Service
{
    std::string name;
    std::string pool;
    // True if a call may be repeated without harm (it is idempotent).
    bool repeatable = false;
    Duration timeout{};
};

// A cache store and the rates of its links.
struct Store
{
    std::string name;
    int64_t memoryBytes = 0;
    int64_t diskBytes = 0;
    int64_t memoryLinkBytesPerSecond = 0;
    int64_t diskLinkBytesPerSecond = 0;
};

// What the teams of one plan may use. Each team has the allowance for itself.
struct Allowance
{
    std::string plan;
    std::vector<std::string> models;
    std::vector<std::string> services;
    int64_t tokensPerSecond = 0;
    int64_t burstTokens = 0;
    int64_t concurrent = 0;
};

// Both lists, checked.
struct Lists
{
    std::vector<Plan> plans;
    std::vector<Team> teams;
    std::vector<Model> models;
    std::vector<Service> services;
    std::vector<Store> stores;
    // Parallel to `plans`.
    std::vector<Allowance> allowances;

    // Each returns null if there is none of that name.
    const Team *teamByKeyDigest(std::string_view digest) const;
    const Team *teamByName(std::string_view name) const;
    const Model *model(std::string_view name) const;
    const Service *service(std::string_view name) const;
    const Allowance &allowanceOf(const Team &team) const;
};

// Parses and checks both lists. On any problem, adds all of them to `problems` and returns nothing.
std::optional<Lists> parseLists(const std::string &plansText, const std::string &allowancesText, Diagnostics &problems);

} // namespace pimentosail
