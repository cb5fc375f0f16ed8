#pragma once

#include "Settings/SettingsChecks.h"
#include "Settings/SettingsValue.h"

#include <functional>
#include <string>
#include <vector>

namespace Guavalock
{

/// The fields of a settings struct: a table of member pointers and validation checks.
///
/// Reading reports unknown keys and missing required fields, and continues after an error so that all errors are reported at once.
template <class Struct>
class FieldTable
{
public:
    /// Adds a required field.
    template <class Value>
    FieldTable &required(const std::string &name, Value Struct::*member, const std::string &expected, SettingsCheck<Value> check = {})
    {
        return add(name, member, expected, true, std::move(check));
    }

    /// Adds a required field whose value is redacted in error messages.
    template <class Value>
    FieldTable &secret(const std::string &name, Value Struct::*member, const std::string &expected, SettingsCheck<Value> check)
    {
        return add(name, member, expected, true, std::move(check), Visibility::Redacted);
    }

    /// Adds a field that keeps its default value when absent.
    template <class Value>
    FieldTable &optional(const std::string &name, Value Struct::*member, SettingsCheck<Value> check = {})
    {
        return add(name, member, {}, false, std::move(check));
    }

    bool read(const SettingsNode &node, Struct &value, SettingsErrors &errors) const
    {
        if (!node.yaml().IsMap()) {
            errors.push_back(node.error("a map with the keys " + keyList()));
            return false;
        }
        const std::size_t before = errors.size();
        rejectUnknownKeys(node, errors);
        for (const Field &it : m_fields) {
            readField(it, node, value, errors);
        }
        return errors.size() == before;
    }

private:
    enum class Visibility {
        Visible,
        Redacted,
    };

    struct Field {
        std::string name;
        std::string expected;
        bool required = false;
        std::function<void(const SettingsNode &, Struct &, SettingsErrors &)> read;
    };

    template <class Value>
    FieldTable &add(const std::string &name, Value Struct::*member, const std::string &expected, bool required, SettingsCheck<Value> check,
                    Visibility visibility = Visibility::Visible)
    {
        auto read = [member, visibility, check = std::move(check)](const SettingsNode &node, Struct &value, SettingsErrors &errors) {
            if (!readSetting(node, value.*member, errors) || !check) {
                return;
            }
            if (const std::optional<std::string> expectation = check(value.*member)) {
                errors.push_back(visibility == Visibility::Visible ? node.error(*expectation) : node.redactedError(*expectation));
            }
        };
        m_fields.push_back({name, expected, required, std::move(read)});
        return *this;
    }

    void readField(const Field &field, const SettingsNode &node, Struct &value, SettingsErrors &errors) const
    {
        const SettingsNode child = node.child(field.name);
        if (child.yaml().IsDefined()) {
            field.read(child, value, errors);
        } else if (field.required) {
            errors.push_back(node.missingKeyError(field.name, field.expected));
        }
    }

    void rejectUnknownKeys(const SettingsNode &node, SettingsErrors &errors) const
    {
        for (const auto &it : node.yaml()) {
            const std::string key = it.first.IsScalar() ? it.first.Scalar() : "(not a scalar)";
            if (!hasField(key)) {
                errors.push_back(node.unknownKeyError(key, it.first, "one of " + keyList()));
            }
        }
    }

    bool hasField(const std::string &name) const
    {
        for (const Field &it : m_fields) {
            if (it.name == name) {
                return true;
            }
        }
        return false;
    }

    std::string keyList() const
    {
        std::string list;
        for (const Field &it : m_fields) {
            list += list.empty() ? it.name : ", " + it.name;
        }
        return list;
    }

    std::vector<Field> m_fields;
};

} // namespace Guavalock
