#include <criterion/criterion.h>

#include "pimentosail/config/configuration.h"
#include "pimentosail/config/lists.h"
#include "pimentosail/config/settings.h"

using namespace pimentosail;

namespace
{

const std::string Digest(64, 'a');

std::string plansText()
{
    return "plans:\n"
           "  - name: frost\n"
           "    priority: interactive\n"
           "    teams:\n"
           "      - name: pickers\n"
           "        key_sha256: "
        + Digest + "\n";
}

std::string allowancesText()
{
    return "models:\n"
           "  - name: dispatcher\n"
           "    pool: dispatcher\n"
           "allowances:\n"
           "  - plan: frost\n"
           "    models: [dispatcher]\n"
           "    tokens_per_second: 100\n";
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

std::string problemsOf(const std::string &plans, const std::string &allowances)
{
    Diagnostics problems;
    const bool accepted = parseLists(plans, allowances, problems).has_value();
    cr_assert_neq(accepted, !problems.empty());
    return formatDiagnostics(problems);
}

void assertContains(const std::string &text, const std::string &expectedText)
{
    cr_assert_neq(text.find(expectedText), std::string::npos, "'%s' lacks '%s'", text.c_str(), expectedText.c_str());
}

const char *const SettingsText = "name: entry-1\n"
                                 "zone: melnik\n"
                                 "listen: 127.0.0.1:8000\n"
                                 "internal: 127.0.0.1:8001\n"
                                 "key_value: [127.0.0.1:2379]\n"
                                 "host_list: 127.0.0.1:8002\n";

} // namespace

Test(lists, valid_lists_are_read_with_their_defaults)
{
    Diagnostics problems;
    const std::optional<Lists> lists = parseLists(plansText(), allowancesText(), problems);
    cr_assert(lists.has_value(), "%s", formatDiagnostics(problems).c_str());
    cr_assert_eq(lists->teamByKeyDigest(Digest)->name, std::string("pickers"));
    cr_assert_eq(lists->plans[0].priority, Priority::Interactive);
    cr_assert_eq(lists->model("dispatcher")->warmLimit, 8);
    cr_assert_eq(lists->allowanceOf(*lists->teamByName("pickers")).burstTokens, 100);
}

Test(lists, an_unknown_key_is_reported_with_its_location_and_the_nearest_name)
{
    const std::string text = problemsOf(replaced(plansText(), "priority", "prority"), allowancesText());
    assertContains(text, "plans.yaml:3:5: unknown key 'prority'; did you mean 'priority'?");
}

Test(lists, wrong_types_ranges_duplicates_and_references_are_reported)
{
    assertContains(problemsOf(plansText(), replaced(allowancesText(), "100", "many")), "allowances.yaml:7:24: key 'tokens_per_second': expected an integer");
    assertContains(problemsOf(plansText(), replaced(allowancesText(), "100", "0")), "expected 1 to");
    assertContains(problemsOf(plansText(), replaced(allowancesText(), "[dispatcher]", "[dispacher]")), "did you mean 'dispatcher'?");
    assertContains(problemsOf(plansText(), replaced(allowancesText(), "plan: frost", "plan: thaw")), "'thaw' is not defined");
    assertContains(problemsOf(replaced(plansText(), "    priority: interactive\n", "    priority: interactive\n    priority: batch\n"), allowancesText()),
        "key 'priority' is given twice");
    assertContains(problemsOf(replaced(plansText(), "interactive", "urgent"), allowancesText()), "expected one of batch, standard, interactive");
    assertContains(problemsOf(replaced(plansText(), Digest, "secret"), allowancesText()), "64 lower-case hexadecimal digits");
    assertContains(problemsOf("plans: [", allowancesText()), "plans.yaml:1:");
    assertContains(problemsOf("plans: []", "models: []"), "at least one plan");
}

Test(configuration, a_printed_document_is_read_back_unchanged)
{
    Result<Configuration> configuration = Configuration::fromLists(plansText(), allowancesText());
    cr_assert(configuration.has_value());
    configuration->revision = 7;
    configuration->zonesOut = {"melnik"};
    configuration->history.push_back({7, 1, "ana", "zone melnik out"});
    const Result<Configuration> read = Configuration::fromDocument(configuration->toDocument());
    cr_assert(read.has_value());
    cr_assert_eq(read->revision, 7);
    cr_assert_eq(read->zonesOut.count("melnik"), 1U);
    cr_assert_eq(read->history.back().author, std::string("ana"));
}

Test(configuration, a_difference_lists_changed_lines_and_zones_out_of_service)
{
    Result<Configuration> before = Configuration::fromLists(plansText(), allowancesText());
    Result<Configuration> after = Configuration::fromLists(plansText(), replaced(allowancesText(), "100", "200"));
    after->zonesOut.insert("melnik");
    const std::vector<std::string> lines = describeDifference(*before, *after);
    cr_assert_eq(lines.size(), 3U);
    cr_assert_eq(lines[0], std::string("allowances.yaml: -     tokens_per_second: 100"));
    cr_assert_eq(lines[2], std::string("zone melnik: out"));
}

Test(configuration, a_damaged_document_is_refused)
{
    cr_assert_not(Configuration::fromDocument("{").has_value());
    cr_assert_not(Configuration::fromDocument("{\"plans\":3}").has_value());
}

Test(settings, addresses_must_be_numeric)
{
    Diagnostics problems;
    cr_assert(parseSettings(SettingsText, "entry.yaml", problems).has_value(), "%s", formatDiagnostics(problems).c_str());
    parseSettings(replaced(SettingsText, "127.0.0.1:8000", "localhost:8000"), "entry.yaml", problems);
    assertContains(formatDiagnostics(problems), "entry.yaml:3:9: key 'listen': expected IP:PORT");
}

Test(settings, a_key_value_address_is_required)
{
    Diagnostics problems;
    cr_assert_not(parseSettings(replaced(SettingsText, "key_value: [127.0.0.1:2379]\n", ""), "entry.yaml", problems).has_value());
}
