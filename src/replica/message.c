#include "replica/message.h"

static const char *const message_names[] = {
#define X(id, name) name,
  BR_REPLICA_MESSAGE_TABLE (X)
#undef X
};

const char *
br_replica_message_name (br_replica_message_kind_t kind)
{
  return message_names[kind];
}

void
br_entry_release (br_entry_t *entry)
{
  br_buf_free (&entry->data);
}

br_entry_t
br_entry_copy (const br_entry_t *entry)
{
  br_entry_t copy = *entry;

  copy.data = (br_buf_t){ 0 };
  br_buf_append (&copy.data, br_buf_str (&entry->data));
  return copy;
}

void
br_entries_release (br_entries_t *entries)
{
  for (size_t i = 0; i < entries->len; i++)
    br_entry_release (&entries->items[i]);
  br_entries_free (entries);
}

bool
br_proposer_equal (const br_proposer_t *a, const br_proposer_t *b)
{
  return a->ticket == b->ticket && a->incarnation == b->incarnation
         && br_name_equal (&a->vm, &b->vm);
}

void
br_replica_message_release (br_replica_message_t *message)
{
  switch (message->kind)
    {
    case BR_REPLICA_APPEND:
      br_entries_release (&message->append.entries);
      br_silent_voters_free (&message->append.silent);
      break;
    case BR_REPLICA_SNAPSHOT:
      br_config_release (&message->snapshot.config);
      br_buf_free (&message->snapshot.data);
      break;
    case BR_REPLICA_PROPOSE:
      br_buf_free (&message->propose.data);
      break;
    case BR_REPLICA_JOIN_ANSWER:
      br_config_release (&message->join_answer.config);
      break;
    default:
      break;
    }
}

void
br_replica_messages_release (br_replica_messages_t *messages)
{
  for (size_t i = 0; i < messages->len; i++)
    br_replica_message_release (&messages->items[i]);
  br_replica_messages_free (messages);
}

static br_buf_t
buf_copy (const br_buf_t *buf)
{
  br_buf_t copy = { 0 };

  br_buf_append (&copy, br_buf_str (buf));
  return copy;
}

br_replica_message_t
br_replica_message_copy (const br_replica_message_t *message)
{
  br_replica_message_t copy = *message;

  switch (message->kind)
    {
    case BR_REPLICA_APPEND:
      copy.append.entries = (br_entries_t){ 0 };
      for (size_t i = 0; i < message->append.entries.len; i++)
        br_entries_push (&copy.append.entries,
                         br_entry_copy (&message->append.entries.items[i]));
      copy.append.silent = (br_silent_voters_t){ 0 };
      for (size_t i = 0; i < message->append.silent.len; i++)
        br_silent_voters_push (&copy.append.silent,
                               message->append.silent.items[i]);
      break;
    case BR_REPLICA_SNAPSHOT:
      copy.snapshot.config = (br_config_t){ 0 };
      br_config_copy (&copy.snapshot.config, &message->snapshot.config);
      copy.snapshot.data = buf_copy (&message->snapshot.data);
      break;
    case BR_REPLICA_PROPOSE:
      copy.propose.data = buf_copy (&message->propose.data);
      break;
    case BR_REPLICA_JOIN_ANSWER:
      copy.join_answer.config = (br_config_t){ 0 };
      br_config_copy (&copy.join_answer.config, &message->join_answer.config);
      break;
    default:
      break;
    }
  return copy;
}
