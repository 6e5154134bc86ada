#include <criterion/criterion.h>

#include "pimentosail/routing/servingconfiguration.h"

using namespace pimentosail;

namespace
{

Route makeRoute(const std::string &name, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = "cards.example";
    route.pathPrefix = prefix;
    route.timeout = Milliseconds(1000);
    route.services = {{"desk", 1}};
    return route;
}

DecodedConfiguration makeConfiguration()
{
    DecodedConfiguration configuration;
    configuration.version = 1;
    configuration.services.push_back({"desk", "/health", 0, Duration(0), 0, std::nullopt});
    configuration.services.push_back({"loom", "/health", 0, Duration(0), 0, std::nullopt});
    configuration.routes = {makeRoute("short", "/a/"), makeRoute("long", "/a/b/")};
    configuration.teams.push_back({"t1", 3, false});
    configuration.keys["k1"] = "t1";
    configuration.hasTeams = true;
    return configuration;
}

} // namespace

// Guards against a wait for earlier prompts that is as long as an upload may take, or too short for one of two services of a route.
Test(routing, the_longest_timeout_of_prompts_is_that_of_routes_to_engines)
{
    DecodedConfiguration configuration = makeConfiguration();
    cr_assert_eq(longestPromptTimeout(configuration), Duration(0));
    configuration.services[1].engine = EngineProfile{};
    configuration.routes[0].timeout = std::chrono::seconds(600);
    configuration.routes[1].timeout = std::chrono::seconds(12);
    configuration.routes[1].services = {{"desk", 1}, {"loom", 1}};
    configuration.routes.push_back(makeRoute("other", "/c/"));
    configuration.routes.back().services = {{"loom", 1}};
    cr_assert_eq(longestPromptTimeout(configuration), Duration(std::chrono::seconds(12)));
}

Test(routing, the_longest_prefix_wins)
{
    const Result<ServingConfigurationPointer> serving = ServingConfiguration::create(makeConfiguration());
    cr_assert(serving);
    cr_assert_eq((*serving)->findRoute("cards.example", "/a/b/c")->name, "long");
    cr_assert_eq((*serving)->findRoute("cards.example", "/a/bc")->name, "short");
    cr_assert_null((*serving)->findRoute("cards.example", "/b/"));
    cr_assert_null((*serving)->findRoute("other.example", "/a/"));
}

Test(routing, a_key_names_its_team)
{
    const Result<ServingConfigurationPointer> serving = ServingConfiguration::create(makeConfiguration());
    cr_assert_eq((*serving)->findTeam("k1")->name, "t1");
    cr_assert_null((*serving)->findTeam("k2"));
}

Test(routing, a_route_to_an_unknown_service_is_an_error_that_names_it)
{
    DecodedConfiguration configuration = makeConfiguration();
    configuration.routes[0].services = {{"nowhere", 1}};
    const Result<ServingConfigurationPointer> serving = ServingConfiguration::create(std::move(configuration));
    cr_assert_not(serving.has_value());
    cr_assert(serving.error().message.find("nowhere") != std::string::npos);
}

Test(routing, services_are_picked_by_weight)
{
    Route route = makeRoute("split", "/s/");
    route.services = {{"desk", 90}, {"loom", 10}};
    int loom = 0;
    for (uint64_t draw = 0; draw < 1000; ++draw) {
        loom += pickService(route, draw) == "loom" ? 1 : 0;
    }
    cr_assert_eq(loom, 100);
}
