/* Explores the claim protocol exhaustively: the replicated state and the claims
 * of two contracts on two VMs, with every order of proposals and replies, and
 * with duplicates, lost replies, crashes, wrong abandons, an operator's
 * settlement and a long freeze.  The model counts the runs at its upstream.
 * BR_MODEL_STATES limits the states of each run. */
#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

#include "contract/claim.h"
#include "state/command.h"

namespace
{

constexpr br_ms_t START_MS = 1000;
constexpr br_ms_t PAUSE_MS = 60000;

/* The number of events of each kind in one run. */
struct Budget
{
  int duplicates;
  int unknowns;
  int refusals;
  int crashes;
  int abandons;
  int pauses;
  int settlements;
  int polls;
  int breaks;
};

struct Message
{
  int vm; /* the proposer, or -1 if no reply is sent */
  br_claim_proposal_t kind;
  uint32_t attempt;
  std::string bytes; /* command, or packed result of a reply */
  br_proposal_outcome_t outcome;
  int runs = 0; /* runs of the key when the command was applied */

  std::string
  print () const
  {
    return std::to_string (vm) + "," + std::to_string (kind) + ","
           + std::to_string (attempt) + "," + std::to_string (outcome) + ","
           + std::to_string (runs) + "," + bytes;
  }
};

struct Claim
{
  br_claim_t c;

  explicit Claim (const char *vm)
  {
    br_claim_options_t options = {};
    br_error_t err;

    options.organisation = br_str_from ("o");
    options.service = br_str_from ("s");
    options.key = br_str_from ("k");
    options.body = br_str_from ("body");
    options.contract.vm = br_name_from (vm);
    options.contract.incarnation = 1;
    options.contract.number = 1;
    options.retention_ms = 86400000;
    EXPECT_TRUE (br_claim_init (&c, &options, &err));
  }
  Claim (const Claim &other) : c (other.c)
  {
    c.key = c.body = br_buf_t{};
    br_buf_append (&c.key, br_buf_str (&other.c.key));
    br_buf_append (&c.body, br_buf_str (&other.c.body));
  }
  Claim &operator= (const Claim &) = delete;
  ~Claim () { br_claim_release (&c); }
};

enum Reply
{
  REPLY_NOTHING,
  REPLY_ANSWER,
  REPLY_NOT_RUN,
  REPLY_UNKNOWN,
};

struct Vm
{
  Claim claim;
  bool alive = true;
  bool sending = false; /* the first byte is about to be sent */
  br_ms_t not_after_ms = 0;
  bool running = false; /* the upstream has the request */
  int runs = 0;
  Reply reply = REPLY_NOTHING;

  explicit Vm (const char *name) : claim (name) {}
};

struct World
{
  std::string state; /* snapshot */
  uint64_t index = 0;
  br_ms_t now = START_MS;
  std::vector<Vm> vms;
  std::vector<Message> proposals;
  std::vector<Message> replies;
  Budget remaining;
  /* An operator settled the key as not run, and no contract may claim it. */
  bool settled = false;

  std::string
  print () const
  {
    std::string out = state + "|" + std::to_string (now);
    std::vector<std::string> all;

    for (const Vm &vm : vms)
      {
        const br_claim_t &c = vm.claim.c;

        for (int64_t n :
             { (int64_t)c.step, (int64_t)c.attempt, (int64_t)c.takes,
               c.sent_proposed_ms, (int64_t)c.taken,
               (int64_t)c.sent_before_take, (int64_t)c.sent_refused,
               (int64_t)c.end, c.propose_at_ms, c.reply_by_ms,
               (int64_t)c.replied, (int64_t)vm.alive, (int64_t)vm.sending,
               vm.not_after_ms, (int64_t)vm.running, (int64_t)vm.runs,
               (int64_t)vm.reply })
          out += std::to_string (n) + ";";
      }
    for (const Message &m : proposals)
      all.push_back ("p" + m.print ());
    for (const Message &m : replies)
      all.push_back ("r" + m.print ());
    std::sort (all.begin (), all.end ());
    for (const std::string &each : all)
      out += each;
    out.append ((const char *)&remaining, sizeof remaining);
    return out;
  }
};

class Model
{
public:
  explicit Model (Budget budget)
  {
    World world;

    world.remaining = budget;
    world.vms.emplace_back ("a");
    world.vms.emplace_back ("b");
    world.state = snapshot ();
    push (world);
  }
  ~Model () { br_state_free (state_); }

  void
  run (size_t bound)
  {
    while (!queue_.empty () && visited_.size () < bound && !failed_)
      {
        World world = queue_.front ();

        queue_.pop_front ();
        expand (world);
      }
    printf ("states visited: %zu, transitions: %zu, %s\n", visited_.size (),
            transitions_, queue_.empty () ? "all" : "bounded");
  }

private:
  br_state_t *state_ = br_state_new ();
  std::unordered_set<std::string> visited_;
  std::deque<World> queue_;
  size_t transitions_ = 0;
  bool failed_ = false;
  int proof_runs_ = -1; /* runs when the present reply was applied, or -1 */

  std::string
  snapshot ()
  {
    br_buf_t out = {};
    std::string bytes;

    br_state_snapshot (state_, &out);
    bytes.assign (out.data, out.len);
    br_buf_free (&out);
    return bytes;
  }

  void
  load (const World &world)
  {
    br_error_t err;

    ASSERT_TRUE (br_state_restore (
        state_, br_str_make (world.state.data (), world.state.size ()), &err))
        << err.text;
  }

  void
  push (const World &world)
  {
    transitions_++;
    if (!check (world))
      failed_ = true;
    if (visited_.insert (world.print ()).second)
      queue_.push_back (world);
  }

  bool
  check (const World &world)
  {
    int runs = 0;

    for (const Vm &vm : world.vms)
      {
        runs += vm.runs;
        EXPECT_FALSE (vm.reply == REPLY_NOT_RUN && vm.runs > 0)
            << "reply: not run, but it ran";
        EXPECT_FALSE (vm.reply == REPLY_NOT_RUN && vm.sending)
            << "reply: not run, but it is being sent";
      }
    EXPECT_LE (runs, 1) << "the key ran more than once";
    for (const Vm &vm : world.vms)
      EXPECT_FALSE (vm.reply == REPLY_ANSWER && runs == 0)
          << "an answer without a run";
    EXPECT_FALSE (world.settled && runs > 0)
        << "settled as not run, and it ran afterwards";
    return !::testing::Test::HasFailure ();
  }

  /* Applies COMMAND to the log of WORLD and returns the packed result. */
  std::string
  apply (World &world, const std::string &command)
  {
    br_buf_t result = {};
    std::string bytes;

    load (world);
    br_state_apply (state_, 1, br_str_make (command.data (), command.size ()),
                    &result);
    world.state = snapshot ();
    bytes.assign (result.data, result.len);
    br_buf_free (&result);
    return bytes;
  }

  void
  handle (World &world, int vm, const br_claim_input_t &input)
  {
    br_claim_actions_t outbox = {};
    Vm &at = world.vms[vm];

    br_claim_handle (&at.claim.c, world.now, &input, &outbox);
    for (size_t i = 0; i < outbox.len; i++)
      {
        const br_claim_action_t &action = outbox.items[i];

        switch (action.kind)
          {
          case BR_CLAIM_ACTION_PROPOSE:
            world.proposals.push_back (
                { vm, action.proposal, action.attempt,
                  std::string (action.bytes.data, action.bytes.len),
                  BR_PROPOSAL_COMMITTED });
            break;
          case BR_CLAIM_ACTION_SEND:
            at.sending = true;
            at.not_after_ms = action.not_after_ms;
            break;
          case BR_CLAIM_ACTION_ANSWER:
            at.reply = REPLY_ANSWER;
            break;
          case BR_CLAIM_ACTION_FAIL:
            /* The proof applies to the key, not only to this contract. */
            if (action.error.code == BR_ERROR_UNAVAILABLE
                && strstr (action.error.text, "can be reached") == nullptr)
              {
                EXPECT_EQ (proof_runs_ >= 0 ? proof_runs_ : runs (world), 0)
                    << "reply: not run, but the key ran: " << action.error.text
                    << ", vm " << vm;
              }
            at.reply = action.error.code == BR_ERROR_UNKNOWN_OUTCOME
                           ? REPLY_UNKNOWN
                           : REPLY_NOT_RUN;
            break;
          }
      }
    br_claim_actions_release (&outbox);
  }

  void
  start (const World &from, int vm, bool stale)
  {
    World world = from;
    br_claim_input_t input = {};

    load (world);
    input.kind = BR_CLAIM_INPUT_START;
    if (!stale)
      input.record = br_state_claim (state_, br_str_from ("o/s/k"));
    handle (world, vm, input);
    push (world);
  }

  void
  expand_vm (const World &from, int vm)
  {
    const Vm &at = from.vms[vm];
    br_claim_input_t input = {};

    if (!at.alive)
      return;
    if (at.claim.c.step == BR_CLAIM_STEP_NEW)
      {
        start (from, vm, true);
        start (from, vm, false);
      }
    if (at.sending)
      {
        World world = from;

        world.vms[vm].sending = false;
        if (world.now <= at.not_after_ms)
          {
            world.vms[vm].runs++;
            world.vms[vm].running = true;
          }
        else
          {
            input.kind = BR_CLAIM_INPUT_END;
            input.end.state = BR_CLAIM_NOT_RUN;
            input.end.error.code = BR_ERROR_TIMEOUT;
            handle (world, vm, input);
          }
        push (world);
      }
    if (at.running)
      for (bool broken : { false, true })
        {
          World world = from;

          if (broken && world.remaining.breaks-- <= 0)
            continue;
          world.vms[vm].running = false;
          input.kind = BR_CLAIM_INPUT_END;
          input.end.state = broken ? BR_CLAIM_UNKNOWN : BR_CLAIM_ANSWERED;
          input.end.error.code = BR_ERROR_UNKNOWN_OUTCOME;
          if (!broken)
            world.vms[vm].reply = REPLY_ANSWER;
          handle (world, vm, input);
          push (world);
        }
    if (at.claim.c.step == BR_CLAIM_STEP_WAITING)
      {
        World world = from;

        load (world);
        input.kind = BR_CLAIM_INPUT_RECORD;
        input.record = br_state_claim (state_, br_str_from ("o/s/k"));
        handle (world, vm, input);
        push (world);
      }
    if (from.remaining.polls > 0)
      {
        World world = from;

        world.remaining.polls--;
        input.kind = BR_CLAIM_INPUT_TIME;
        handle (world, vm, input);
        push (world);
      }
    if (from.remaining.crashes > 0)
      {
        World world = from;

        world.remaining.crashes--;
        world.vms[vm].alive = world.vms[vm].sending = false;
        world.vms[vm].running = false;
        push (world);
      }
  }

  void
  expand_proposal (const World &from, size_t i)
  {
    for (bool duplicate : { false, true })
      {
        World world = from;
        Message m = from.proposals[i];

        if (duplicate && world.remaining.duplicates-- <= 0)
          continue;
        if (duplicate)
          world.proposals[i].vm = -1; /* the second reply is dropped */
        else
          world.proposals.erase (world.proposals.begin () + (long)i);
        m.bytes = apply (world, m.bytes);
        m.runs = runs (from);
        if (m.vm >= 0)
          world.replies.push_back (m);
        push (world);
      }
    if (from.proposals[i].vm < 0)
      return;
    if (from.remaining.unknowns > 0)
      {
        World world = from;
        Message m = from.proposals[i];

        world.remaining.unknowns--;
        world.proposals[i].vm = -1; /* may still be applied */
        m.outcome = BR_PROPOSAL_UNKNOWN;
        m.bytes.clear ();
        world.replies.push_back (m);
        push (world);
      }
    if (from.remaining.refusals > 0)
      {
        World world = from;
        Message m = from.proposals[i];

        world.remaining.refusals--;
        world.proposals.erase (world.proposals.begin () + (long)i);
        m.outcome = BR_PROPOSAL_REFUSED;
        m.bytes.clear ();
        world.replies.push_back (m);
        push (world);
      }
  }

  void
  expand_reply (const World &from, size_t i)
  {
    World world = from;
    Message m = from.replies[i];
    br_result_t *result = nullptr;
    br_claim_input_t input = {};

    world.replies.erase (world.replies.begin () + (long)i);
    if (world.vms[m.vm].alive)
      {
        input.kind = BR_CLAIM_INPUT_PROPOSAL;
        input.proposal.kind = m.kind;
        input.proposal.attempt = m.attempt;
        input.proposal.outcome = m.outcome;
        if (m.outcome == BR_PROPOSAL_COMMITTED)
          {
            result = br_result_unpack (
                br_str_make (m.bytes.data (), m.bytes.size ()));
            input.proposal.result = result->claim;
          }
        proof_runs_ = m.outcome == BR_PROPOSAL_COMMITTED ? m.runs : -1;
        handle (world, m.vm, input);
        proof_runs_ = -1;
        br_result_free (result);
      }
    push (world);
  }

  void
  expand_pause (const World &from)
  {
    World world = from;

    if (world.remaining.pauses-- <= 0)
      return;
    world.now += PAUSE_MS;
    for (uint64_t tick = 1; tick <= PAUSE_MS / BR_STATE_TICK_MAX_MS; tick++)
      {
        br_buf_t command = {};

        load (world);
        br_state_command_tick (br_state_tick (state_) + 1, BR_STATE_TICK_MAX_MS,
                               &command);
        apply (world, std::string (command.data, command.len));
        br_buf_free (&command);
      }
    push (world);
  }

  void
  expand_others (const World &from)
  {
    const br_claim_record_t *record;
    br_buf_t command = {};

    load (from);
    record = br_state_claim (state_, br_str_from ("o/s/k"));
    if (record == nullptr)
      return;
    if (from.remaining.abandons > 0
        && (record->state == BR_CLAIM_CLAIMED
            || record->state == BR_CLAIM_SENT))
      {
        World world = from;

        world.remaining.abandons--;
        br_state_command_abandon (record, &command);
        world.proposals.push_back ({ -1, BR_CLAIM_PROPOSE_END, 0,
                                     std::string (command.data, command.len),
                                     BR_PROPOSAL_COMMITTED });
        push (world);
      }
    br_buf_clear (&command);
    /* An operator settles as not run after a check at the upstream. */
    load (from);
    if (from.remaining.settlements > 0 && runs (from) == 0)
      {
        World world = from;
        br_result_t *result;
        std::string bytes;

        world.remaining.settlements--;
        br_state_command_settle (br_str_from ("o/s/k"), BR_CLAIM_NOT_RUN,
                                 &command);
        bytes = apply (world, std::string (command.data, command.len));
        result = br_result_unpack (br_str_make (bytes.data (), bytes.size ()));
        world.settled = result->claim->verdict == BR_CLAIM_OUTCOME_OK
                        && result->claim->claim->settled && only_owner (world);
        br_result_free (result);
        push (world);
      }
    br_buf_free (&command);
  }

  static int
  runs (const World &world)
  {
    return world.vms[0].runs + world.vms[1].runs;
  }

  /* Returns whether no contract can claim the key any more.  Otherwise a run
   * after a settlement as not run is allowed. */
  static bool
  only_owner (const World &world)
  {
    for (const Vm &vm : world.vms)
      if (vm.alive
          && (vm.claim.c.step == BR_CLAIM_STEP_NEW
              || vm.claim.c.step == BR_CLAIM_STEP_TAKING
              || vm.claim.c.step == BR_CLAIM_STEP_WAITING))
        return false;
    return true;
  }

  void
  expand (const World &from)
  {
    for (int vm = 0; vm < 2; vm++)
      expand_vm (from, vm);
    for (size_t i = 0; i < from.proposals.size (); i++)
      expand_proposal (from, i);
    for (size_t i = 0; i < from.replies.size (); i++)
      expand_reply (from, i);
    expand_pause (from);
    expand_others (from);
  }
};

size_t
bound ()
{
  const char *text = getenv ("BR_MODEL_STATES");

  return text != nullptr ? strtoul (text, nullptr, 10) : 30000;
}

void
explore (Budget budget)
{
  Model model (budget);

  model.run (bound ());
}

/* duplicates, unknowns, refusals, crashes, abandons, pauses, settlements,
 * polls, breaks */
TEST (ClaimModel, DuplicatesAndLostReplies)
{
  explore ({ 1, 1, 0, 0, 0, 0, 0, 0, 0 });
}

TEST (ClaimModel, CrashAndAbandon) { explore ({ 0, 0, 0, 1, 1, 0, 0, 0, 1 }); }

TEST (ClaimModel, FrozenOwnerAndSettlement)
{
  explore ({ 0, 0, 0, 0, 1, 1, 1, 0, 0 });
}

TEST (ClaimModel, NoMajority) { explore ({ 0, 2, 1, 0, 0, 1, 0, 2, 0 }); }

TEST (ClaimModel, Everything) { explore ({ 1, 1, 1, 1, 1, 1, 1, 1, 1 }); }

} // namespace
