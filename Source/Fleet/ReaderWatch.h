#pragma once

#include <string>

namespace Guavalock
{

/// Decides when a daemon no longer relies on the daemon that reads a topic for it. Answers to readers that lose power or freeze: their
/// links stay up for seconds, and a copy of the records counts as recent for up to 2.4 s.
class ReaderWatch
{
public:
    enum class Action {
        Ask, ///< Only the reader is asked.
        AskOthers, ///< The previous request has not been answered, so other linked daemons are asked as well.
        ReadStore, ///< Several have not been answered, so the store is read as well.
    };

    /// Records a request to a daemon and returns what to do. Requests are made at regular intervals.
    Action request(const std::string &vm)
    {
        constexpr unsigned maxUnanswered = 2;
        if (vm != m_vm) {
            m_vm = vm;
            m_unanswered = 0;
        }
        const unsigned unanswered = m_unanswered++;
        return unanswered == 0 ? Action::Ask : unanswered < maxUnanswered ? Action::AskOthers : Action::ReadStore;
    }

    /// Records that a daemon has sent records of the topic.
    void receive(const std::string &vm)
    {
        m_unanswered = vm == m_vm ? 0 : m_unanswered;
    }

private:
    std::string m_vm; ///< The reader.
    unsigned m_unanswered = 0; ///< Number of requests since its last response.
};

} // namespace Guavalock
