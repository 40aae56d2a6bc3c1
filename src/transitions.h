/// \file
/// Computes the transitions of a Boost.MSM state machine as an array. Included
/// by `.cc` files only, since Boost.MSM adds seconds to the compile time of
/// each file that includes it.

#ifndef MULBERRYHOIST_TRANSITIONS_H
#define MULBERRYHOIST_TRANSITIONS_H

#include <array>
#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <cstddef>
#include <utility>

namespace mulberryhoist::detail {

/// An event that puts the machine into a state.
template <auto State> struct Enter {};
/// An event of the machine.
template <auto Event> struct Occur {};

/// The initial state, before any `Enter`.
struct Start : boost::msm::front::state<> {};

/// A state that sets `Current` of the machine on entry.
template <auto Value> struct StateOf : boost::msm::front::state<> {
  template <typename EventType, typename Machine>
  void on_entry(const EventType & /*Event*/, Machine &Self) {
    Self.Current = Value;
  }
};

/// The base of a machine definition, which adds a `transition_table` with a row
/// from `Start` to each state. An event without a row leaves the state
/// unchanged.
template <typename Definition, typename State>
struct MachineDefinition : boost::msm::front::state_machine_def<Definition> {
  // NOLINTNEXTLINE(readability-identifier-naming): Boost.MSM reads this name.
  using initial_state = Start;

  template <typename Machine, typename EventType>
  void no_transition(const EventType & /*Event*/, Machine & /*Self*/,
                     int /*State*/) {}

  State Current = {};
};

template <typename State, std::size_t EventCount>
using Successors = std::array<State, EventCount>;

/// The successors by state and event.
template <typename State, std::size_t StateCount, std::size_t EventCount>
using Transitions = std::array<Successors<State, EventCount>, StateCount>;

template <typename Definition, auto From, auto Event> auto successor() {
  boost::msm::back::state_machine<Definition> Machine;
  Machine.start();
  Machine.process_event(Enter<From>{});
  Machine.process_event(Occur<Event>{});
  return Machine.Current;
}

template <typename Definition, typename Event, auto From, std::size_t... Events>
auto successors(std::index_sequence<Events...> /*All*/) {
  return Successors<decltype(From), sizeof...(Events)>{
      successor<Definition, From, static_cast<Event>(Events)>()...};
}

template <typename Definition, typename State, typename Event,
          std::size_t EventCount, std::size_t... States>
auto transitions(std::index_sequence<States...> /*All*/) {
  return Transitions<State, sizeof...(States), EventCount>{
      successors<Definition, Event, static_cast<State>(States)>(
          std::make_index_sequence<EventCount>())...};
}

/// Computes the transitions by running the machine once for each state and
/// event. A machine in each record would take several hundred bytes and
/// allocate.
template <typename Definition, typename State, std::size_t StateCount,
          typename Event, std::size_t EventCount>
Transitions<State, StateCount, EventCount> makeTransitions() {
  return transitions<Definition, State, Event, EventCount>(
      std::make_index_sequence<StateCount>());
}

} // namespace mulberryhoist::detail

#endif // MULBERRYHOIST_TRANSITIONS_H
