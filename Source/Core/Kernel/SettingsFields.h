#pragma once

/// Tables of all settings: for each one its JSON name, member, accepted values and description.
/// They drive the parser, its errors and `--help settings`.

#include "Kernel/Settings.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace Kernel {

/// Accepted form of a text setting.
struct TextForm {
    const char* accepted; ///< In words, for errors and help.
    bool (*matches)(const std::string&);
};

/// Inclusive bounds of a number; in milliseconds for durations.
struct NumberRange {
    double minimum = 0;
    double maximum = 0;
};

/// The member of a section that a setting is stored in.
template<typename Section>
using FieldMember = std::variant<
    std::string Section::*,
    unsigned Section::*,
    std::size_t Section::*,
    std::chrono::milliseconds Section::*,
    double Section::*,
    bool Section::*>;

/// Accepted values of a setting; std::monostate for flags, which accept true and false.
using FieldRule = std::variant<std::monostate, const TextForm*, NumberRange>;

/// Whether a setting may be omitted.
enum class Presence {
    Optional,
    Required,
};

/// One setting of a section.
template<typename Section>
struct Field {
    const char* name; ///< JSON name.
    FieldMember<Section> member;
    FieldRule rule;
    Presence presence;
    const char* description;
};

/// Settings of a section, or of the items of a list.
template<typename Section>
using Fields = std::vector<Field<Section>>;

/// Settings of a section type; specialised for each one in SettingsFields.cpp.
template<typename Section>
const Fields<Section>& fieldsOf();

template<>
const Fields<Settings>& fieldsOf();
template<>
const Fields<CallersSection>& fieldsOf();
template<>
const Fields<PeersSection>& fieldsOf();
template<>
const Fields<PeerSeed>& fieldsOf();
template<>
const Fields<OperatorsSection>& fieldsOf();
template<>
const Fields<OperatorAccount>& fieldsOf();
template<>
const Fields<PlatformSection>& fieldsOf();
template<>
const Fields<AdaptersSection>& fieldsOf();
template<>
const Fields<LimitsSection>& fieldsOf();
template<>
const Fields<WeightsSection>& fieldsOf();
template<>
const Fields<JobsSection>& fieldsOf();
template<>
const Fields<LoggingSection>& fieldsOf();

/// JSON names of the lists in sections.
namespace ListNames {
    constexpr const char* seeds = "seeds";
    constexpr const char* accounts = "accounts";
} // namespace ListNames

/// Calls visitor(name, section) for each section of the settings, in the order of the help text.
template<typename SettingsType, typename Visitor>
void forEachSection(SettingsType& settings, Visitor visitor)
{
    visitor("callers", settings.callers);
    visitor("peers", settings.peers);
    visitor("operators", settings.operators);
    visitor("platform", settings.platform);
    visitor("adapters", settings.adapters);
    visitor("limits", settings.limits);
    visitor("weights", settings.weights);
    visitor("jobs", settings.jobs);
    visitor("logging", settings.logging);
}

/// Describes the values that a rule accepts; `isInteger` when numbers must have no fraction.
std::string acceptedText(const FieldRule&, bool isInteger);

/// Describes the values that a setting accepts.
template<typename Section>
std::string acceptedText(const Field<Section>& field)
{
    return acceptedText(field.rule, !std::holds_alternative<double Section::*>(field.member));
}

} // namespace Kernel
