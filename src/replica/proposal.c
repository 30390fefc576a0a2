#include "replica/replica_private.h"

/* Maximum incarnations of proposers whose tickets one leader tracks. */
#define TICKETS_MAX 4096

/* A message to the leader may be lost with its connection.  It is sent again
 * after this many heartbeats, and then after twice the time each. */
#define RESEND_HEARTBEATS 4

static void
pending_complete (br_replica_t *replica, size_t i, br_replica_event_t event)
{
  br_pendings_t *pendings = &replica->pendings;
  br_pending_t *pending = &pendings->items[i];

  event.kind
      = pending->is_read ? BR_REPLICA_EVENT_READ : BR_REPLICA_EVENT_PROPOSAL;
  event.ticket = pending->ticket;
  br_replica_event (replica, event);
  br_buf_free (&pending->command);
  for (pendings->len--; i < pendings->len; i++)
    pendings->items[i] = pendings->items[i + 1];
}

static bool
pending_find (const br_replica_t *replica, uint64_t ticket, size_t *i)
{
  for (*i = 0; *i < replica->pendings.len; (*i)++)
    if (replica->pendings.items[*i].ticket == ticket)
      return true;
  return false;
}

static br_proposer_t
pending_proposer (const br_replica_t *replica, const br_pending_t *pending)
{
  return (br_proposer_t){ replica->options.vm, replica->options.incarnation,
                          pending->ticket };
}

static void
pending_add (br_replica_t *replica, br_ms_t now, br_pending_t pending)
{
  br_replica_advance (replica, now);
  pending.since_ms = replica->now;
  br_pendings_push (&replica->pendings, pending);
  if (replica->role == BR_ROLE_LEADER && br_replica_quorum_is_lost (replica))
    br_replica_leave_quorum (replica);
  br_replica_send_pending (replica);
}

void
br_replica_propose (br_replica_t *replica,
                    br_ms_t now,
                    uint64_t ticket,
                    br_str_t command)
{
  br_pending_t pending = { .ticket = ticket };

  br_buf_append (&pending.command, command);
  pending_add (replica, now, pending);
}

void
br_replica_read (br_replica_t *replica, br_ms_t now, uint64_t ticket)
{
  pending_add (replica, now,
               (br_pending_t){ .ticket = ticket, .is_read = true });
}

/* Registers a read that waits until a quorum has confirmed the leader. */
static void
read_register (br_replica_t *replica, const br_name_t *vm, br_read_t request)
{
  br_quorum_read_t read = {
    .vm = *vm,
    .ticket = request.ticket,
    .incarnation = request.incarnation,
    .index = BR_MAX (replica->commit, replica->noop_index),
    .round = replica->round + 1,
  };

  br_quorum_reads_push (&replica->quorum_reads, read);
  replica->has_updates = true;
  br_replica_confirm_reads (replica);
}

/* Handles a proposal or read of this VM on the leader itself.  Returns false
 * when it was refused. */
static bool
pending_handle_as_leader (br_replica_t *replica, br_pending_t *pending)
{
  br_proposer_t proposer = pending_proposer (replica, pending);

  if (pending->is_read)
    {
      read_register (
          replica, &replica->options.vm,
          (br_read_t){ pending->ticket, replica->options.incarnation });
      return true;
    }
  return br_replica_lead_append (replica, BR_ENTRY_COMMAND, &proposer,
                                 br_buf_str (&pending->command));
}

/* Returns whether the leader refuses a proposal for good: its disk has no
 * space, and no other leader follows. */
static bool
proposal_is_refused (const br_replica_t *replica)
{
  return !br_replica_takes_proposals (replica) && replica->transfer_to.len == 0;
}

static void
pending_send (br_replica_t *replica, br_pending_t *pending)
{
  br_replica_message_t message = { .kind = BR_REPLICA_PROPOSE };

  pending->resend_ms = replica->now + pending->resend_after_ms;
  pending->resend_after_ms *= 2;

  message.term = replica->hard_state.term;
  if (pending->is_read)
    {
      message.kind = BR_REPLICA_READ;
      message.read
          = (br_read_t){ pending->ticket, replica->options.incarnation };
    }
  else
    {
      message.propose.proposer = pending_proposer (replica, pending);
      br_buf_append (&message.propose.data, br_buf_str (&pending->command));
    }
  br_replica_send (replica, &replica->leader, message, 0);
}

/* Returns whether PENDING must be sent to the leader of this term: it was not
 * sent yet or not accepted, or it is a read that an earlier leader has not
 * answered. */
static bool
pending_is_due (const br_replica_t *replica, const br_pending_t *pending)
{
  if (pending->term == replica->hard_state.term)
    return false;
  return pending->state == BR_PENDING_WAITING
         || (pending->is_read && pending->index == 0);
}

/* Handles a refusal by the leader, which did not append the command.  With
 * NO_SPACE the proposal is completed as refused; otherwise it waits for the
 * next leader. */
static void
pending_refuse (br_replica_t *replica, size_t i, bool no_space)
{
  if (no_space)
    pending_complete (replica, i,
                      (br_replica_event_t){ .outcome = BR_OUTCOME_REFUSED,
                                            .no_space = true });
  else
    replica->pendings.items[i].state = BR_PENDING_WAITING;
}

void
br_replica_send_pending (br_replica_t *replica)
{
  size_t i = 0;

  if (replica->role == BR_ROLE_LEADER
      && !br_replica_has_lease (replica, replica->now))
    return;
  while (replica->leader.len > 0 && i < replica->pendings.len)
    {
      br_pending_t *pending = &replica->pendings.items[i];
      uint64_t ticket = pending->ticket;
      bool refused = false;

      if (pending_is_due (replica, pending))
        {
          pending->state = BR_PENDING_SENT;
          pending->term = replica->hard_state.term;
          pending->resent = false;
          pending->resend_after_ms
              = replica->options.heartbeat_ms * RESEND_HEARTBEATS;
          if (replica->role == BR_ROLE_LEADER)
            refused = !pending_handle_as_leader (replica, pending);
          else
            pending_send (replica, pending);
        }
      if (refused)
        pending_refuse (replica, i, proposal_is_refused (replica));
      else if (i < replica->pendings.len
               && replica->pendings.items[i].ticket == ticket)
        i++;
    }
}

void
br_replica_send_failed (br_replica_t *replica,
                        const br_replica_message_t *message)
{
  bool is_read = message->kind == BR_REPLICA_READ;
  br_pending_t *pending;
  size_t i;

  if (!is_read && message->kind != BR_REPLICA_PROPOSE)
    return;
  if (!pending_find (replica,
                     is_read ? message->read.ticket
                             : message->propose.proposer.ticket,
                     &i))
    return;
  pending = &replica->pendings.items[i];
  if (pending->state != BR_PENDING_SENT || pending->term != message->term
      || (pending->resent && !is_read))
    return;
  pending->state = BR_PENDING_WAITING;
  pending->term = 0;
}

/* Sends what the leader has not answered once more.  The leader answers a read
 * twice at most, and appends a ticket once. */
static void
pending_resend (br_replica_t *replica)
{
  if (replica->leader.len == 0 || replica->role == BR_ROLE_LEADER)
    return;
  for (size_t i = 0; i < replica->pendings.len; i++)
    {
      br_pending_t *pending = &replica->pendings.items[i];

      if (pending->state == BR_PENDING_SENT
          && pending->term == replica->hard_state.term
          && !(pending->is_read && pending->index > 0)
          && replica->now >= pending->resend_ms)
        {
          pending->resent = true;
          pending_send (replica, pending);
        }
    }
}

void
br_replica_tick_proposals (br_replica_t *replica)
{
  const br_replica_options_t *options = &replica->options;

  br_replica_send_pending (replica);
  pending_resend (replica);
  for (size_t i = 0; i < replica->pendings.len;)
    {
      const br_pending_t *pending = &replica->pendings.items[i];
      br_ms_t age = replica->now - pending->since_ms;
      bool waits = pending->state == BR_PENDING_WAITING;
      br_replica_event_t event = { .outcome = BR_OUTCOME_REFUSED };

      if (!waits && !pending->is_read)
        event.outcome = BR_OUTCOME_UNKNOWN;
      if (age >= (waits ? options->proposal_wait_ms : options->proposal_max_ms))
        pending_complete (replica, i, event);
      else
        i++;
    }
}

void
br_replica_abandon (br_replica_t *replica)
{
  while (replica->pendings.len > 0)
    {
      const br_pending_t *pending = &replica->pendings.items[0];
      bool sent = pending->state == BR_PENDING_SENT && !pending->is_read;

      pending_complete (
          replica, 0,
          (br_replica_event_t){ .outcome = sent ? BR_OUTCOME_UNKNOWN
                                                : BR_OUTCOME_REFUSED });
    }
}

/* Refuses the pending proposals that were sent to a leader of a term before
 * TERM.  It is called when an entry of TERM was applied: a command of an
 * earlier term can then be committed only if it is before that entry. */
static void
pending_refuse_earlier_terms (br_replica_t *replica, uint64_t term)
{
  for (size_t i = 0; i < replica->pendings.len;)
    {
      const br_pending_t *pending = &replica->pendings.items[i];

      if (!pending->is_read && pending->state == BR_PENDING_SENT
          && pending->term < term)
        pending_complete (
            replica, i, (br_replica_event_t){ .outcome = BR_OUTCOME_REFUSED });
      else
        i++;
    }
}

void
br_replica_complete_applied (br_replica_t *replica, const br_entry_t *entry)
{
  const br_proposer_t *proposer = &entry->proposer;
  size_t i;

  if (entry->kind == BR_ENTRY_COMMAND
      && proposer->incarnation == replica->options.incarnation
      && br_name_equal (&proposer->vm, &replica->options.vm)
      && pending_find (replica, proposer->ticket, &i))
    pending_complete (replica, i,
                      (br_replica_event_t){ .outcome = BR_OUTCOME_COMMITTED,
                                            .index = entry->index });
  pending_refuse_earlier_terms (replica, entry->term);
}

void
br_replica_complete_snapshot (br_replica_t *replica)
{
  for (size_t i = 0; i < replica->pendings.len;)
    {
      const br_pending_t *pending = &replica->pendings.items[i];

      if (!pending->is_read && pending->state == BR_PENDING_SENT)
        pending_complete (
            replica, i, (br_replica_event_t){ .outcome = BR_OUTCOME_UNKNOWN });
      else
        i++;
    }
  br_replica_complete_reads (replica);
}

void
br_replica_complete_reads (br_replica_t *replica)
{
  for (size_t i = 0; i < replica->pendings.len;)
    {
      const br_pending_t *pending = &replica->pendings.items[i];

      if (pending->is_read && pending->index > 0
          && pending->index <= replica->applied)
        pending_complete (replica, i,
                          (br_replica_event_t){ .outcome = BR_OUTCOME_COMMITTED,
                                                .index = replica->applied });
      else
        i++;
    }
}

static void
read_set_index (br_replica_t *replica, uint64_t ticket, uint64_t index)
{
  size_t i;

  if (!pending_find (replica, ticket, &i)
      || !replica->pendings.items[i].is_read)
    return;
  replica->pendings.items[i].index = index;
  br_replica_complete_reads (replica);
}

static void
read_answer (br_replica_t *replica, const br_quorum_read_t *read)
{
  br_replica_message_t answer = { .kind = BR_REPLICA_READ_ANSWER };

  answer.term = replica->hard_state.term;
  answer.read_answer
      = (br_read_answer_t){ read->ticket, read->incarnation, read->index };
  br_replica_send (replica, &read->vm, answer, replica->hard_change);
}

static bool
read_is_confirmed (const br_replica_t *replica, const br_quorum_read_t *read)
{
  const br_config_t *config = br_replica_config (replica);
  size_t count = br_replica_is_voter (replica);

  for (size_t i = 0; i < replica->progresses.len; i++)
    {
      const br_progress_t *progress = &replica->progresses.items[i];

      if (progress->round >= read->round
          && br_config_is_voter (config, &progress->vm, progress->disk))
        count++;
    }
  return count >= br_config_majority (config);
}

void
br_replica_confirm_reads (br_replica_t *replica)
{
  br_quorum_reads_t *reads = &replica->quorum_reads;

  for (size_t i = 0; i < reads->len;)
    {
      br_quorum_read_t read = reads->items[i];

      if (!read_is_confirmed (replica, &read))
        {
          i++;
          continue;
        }
      reads->items[i] = reads->items[--reads->len];
      if (br_name_equal (&read.vm, &replica->options.vm))
        read_set_index (replica, read.ticket, read.index);
      else
        read_answer (replica, &read);
    }
}

void
br_replica_drop_reads (br_replica_t *replica)
{
  br_quorum_reads_t *reads = &replica->quorum_reads;
  size_t at;

  for (size_t i = 0; i < reads->len; i++)
    if (br_name_equal (&reads->items[i].vm, &replica->options.vm)
        && pending_find (replica, reads->items[i].ticket, &at))
      replica->pendings.items[at].term = 0;
  br_quorum_reads_clear (reads);
}

void
br_replica_on_read (br_replica_t *replica, const br_replica_message_t *message)
{
  if (replica->role == BR_ROLE_LEADER)
    read_register (replica, &message->vm, message->read);
}

void
br_replica_on_read_answer (br_replica_t *replica,
                           const br_replica_message_t *message)
{
  const br_read_answer_t *answer = &message->read_answer;

  if (answer->incarnation == replica->options.incarnation)
    read_set_index (replica, answer->ticket, answer->index);
}

/* What this leader knows about a ticket. */
typedef enum
{
  TICKET_NEW,
  TICKET_PASSED, /* it or a later one of the same incarnation was received */
  TICKET_UNKNOWN,
} ticket_state_t;

/* Returns the state of the ticket and records it. */
static ticket_state_t
ticket_record (br_replica_t *replica, const br_proposer_t *proposer)
{
  br_tickets_t *tickets = &replica->tickets;
  br_ticket_t fresh = { proposer->vm, proposer->incarnation, proposer->ticket };

  for (size_t i = 0; i < tickets->len; i++)
    {
      br_ticket_t *ticket = &tickets->items[i];

      if (ticket->incarnation != proposer->incarnation
          || !br_name_equal (&ticket->vm, &proposer->vm))
        continue;
      if (proposer->ticket <= ticket->ticket)
        return TICKET_PASSED;
      ticket->ticket = proposer->ticket;
      return TICKET_NEW;
    }
  if (tickets->len == TICKETS_MAX)
    return TICKET_UNKNOWN;
  br_tickets_push (tickets, fresh);
  return TICKET_NEW;
}

/* Returns whether this leader may have appended the ticket in its term. */
static bool
ticket_may_be_appended (const br_replica_t *replica,
                        const br_proposer_t *proposer)
{
  uint64_t last = br_replica_log_last_index (&replica->log);

  if (replica->log.base_index >= replica->noop_index)
    return true;
  for (uint64_t index = last; index > replica->noop_index; index--)
    if (br_proposer_equal (
            &br_replica_log_entry (&replica->log, index)->proposer, proposer))
      return true;
  return false;
}

/* Appends the proposal, or refuses it if it surely was not appended and never
 * will be.  Returns false when neither is certain. */
static bool
propose_decide (br_replica_t *replica,
                const br_propose_t *propose,
                br_propose_answer_t *answer)
{
  switch (ticket_record (replica, &propose->proposer))
    {
    case TICKET_NEW:
      answer->accepted = br_replica_lead_append (replica, BR_ENTRY_COMMAND,
                                                 &propose->proposer,
                                                 br_buf_str (&propose->data));
      answer->no_space = proposal_is_refused (replica);
      return true;
    case TICKET_PASSED:
      return !ticket_may_be_appended (replica, &propose->proposer);
    case TICKET_UNKNOWN:
      break;
    }
  return false;
}

void
br_replica_on_propose (br_replica_t *replica,
                       const br_replica_message_t *message)
{
  const br_propose_t *propose = &message->propose;
  br_replica_message_t answer = { .kind = BR_REPLICA_PROPOSE_ANSWER };

  /* Only the leader of the message's term decides whether the command is
   * appended. */
  if (replica->role != BR_ROLE_LEADER
      || message->term != replica->hard_state.term
      || !br_name_equal (&message->vm, &propose->proposer.vm))
    return;
  answer.term = message->term;
  answer.propose_answer = (br_propose_answer_t){
    .ticket = propose->proposer.ticket,
    .incarnation = propose->proposer.incarnation,
  };
  if (!propose_decide (replica, propose, &answer.propose_answer))
    return;
  answer.propose_answer.index = br_replica_log_last_index (&replica->log);
  answer.to_disk = message->disk;
  br_replica_send (replica, &message->vm, answer, replica->hard_change);
}

void
br_replica_on_propose_answer (br_replica_t *replica,
                              const br_replica_message_t *message)
{
  const br_propose_answer_t *answer = &message->propose_answer;
  size_t i;

  if (answer->accepted || answer->incarnation != replica->options.incarnation
      || !pending_find (replica, answer->ticket, &i)
      || replica->pendings.items[i].term != message->term)
    return;
  pending_refuse (replica, i, answer->no_space);
}
