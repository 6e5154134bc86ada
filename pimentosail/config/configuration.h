// The configuration in force: the two lists, the zones and hosts taken out, and the history of changes. It is
// stored as one JSON document under one key, so that a change is one compare-and-swap.
//
//     Result<Configuration> next = Configuration::fromDocument(text);
//     next->revision;                          // rises by one with each accepted change
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

// One revision of the configuration. Immutable once built; shared between threads.
struct Configuration
{
    int64_t revision = 0;
    // Random value of the writer; tells whether a write whose answer was lost took effect.
    std::string nonce;
    std::string plansText;
    std::string allowancesText;
    std::set<std::string> zonesOut;
    std::set<std::string> hostsOut;
    std::vector<ConfigurationChange> history;
    Lists lists;

    // Parses a stored document and checks its lists. Returns `InvalidConfiguration` with every problem found.
    static Result<Configuration> fromDocument(const std::string &document);

    // Builds a revision 0 configuration from two list texts. Returns `InvalidConfiguration` on a problem.
    static Result<Configuration> fromLists(const std::string &plansText, const std::string &allowancesText);

    // Prints the document that is stored.
    std::string toDocument() const;
};

using ConfigurationPointer = std::shared_ptr<const Configuration>;

// Describes the difference of two configurations, a line for each change.
std::vector<std::string> describeDifference(const Configuration &before, const Configuration &after);

} // namespace pimentosail
