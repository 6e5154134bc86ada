// The configuration of a deployment: the two configuration lists (plans.yaml and allowances.yaml), the zones and hosts
// that operators have taken out of service, and the history of changes. It is stored as one JSON document under one key,
// so that a change is one compare-and-swap.
//
//     Result<Configuration> next = Configuration::fromDocument(text);
//     next->revision;                          // increases by one with each accepted change
//     std::string document = next->toDocument();
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pimentosail/base/error.h"
#include "pimentosail/config/lists.h"

namespace pimentosail
{

// One accepted change, as shown by `pimentosail history`.
struct ConfigurationChange
{
    int64_t revision = 0;
    int64_t wallMilliseconds = 0;
    std::string author;
    std::string summary;
};

// One revision of the configuration. Threads share it as a `ConfigurationPointer` and do not change it.
struct Configuration
{
    int64_t revision = 0;
    // Random value of the writer, which makes the document unique: when the answer to a write is lost, the writer finds out
    // by reading the document back whether its write took effect.
    std::string nonce;
    std::string plansText;
    std::string allowancesText;
    // Names of the zones and hosts that are out of service.
    std::set<std::string> zonesOut;
    std::set<std::string> hostsOut;
    std::vector<ConfigurationChange> history;
    Lists lists;

    // Parses a stored document and checks its lists. Returns `InvalidConfiguration` with every problem found.
    static Result<Configuration> fromDocument(const std::string &document);

    // Builds a configuration of revision 0 from the texts of plans.yaml and allowances.yaml. Returns `InvalidConfiguration`
    // with every problem found.
    static Result<Configuration> fromLists(const std::string &plansText, const std::string &allowancesText);

    // Prints the JSON document that is stored.
    std::string toDocument() const;
};

using ConfigurationPointer = std::shared_ptr<const Configuration>;

// Describes the differences between two configurations, one line for each change.
std::vector<std::string> describeDifference(const Configuration &before, const Configuration &after);

} // namespace pimentosail
