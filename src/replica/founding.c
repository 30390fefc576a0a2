/* Before the first configuration.
 *
 * First voters without the option FOUNDING may have held a log on a disk that
 * was lost since, so all of them must confirm that they are empty, and only the
 * first by name founds the log.
 *
 * With FOUNDING, each first voter has one disk that may take part, and a VM
 * that lost it takes no part.  A majority is enough then: the log begins with
 * an election among all first voters, in which each disk votes once a term. */
#include "replica/replica_private.h"

/* A majority of the first voters waits for the others for this many of the
 * longest election timeouts. */
#define WAIT_ELECTIONS 3

/* An answer that speaks against founding counts for this many heartbeats. */
#define ANSWER_HEARTBEATS 10

/* Seeds of the digest of the first voters.  VMs of different kinds never
 * agree. */
#define DIGEST_SEED 1
#define DIGEST_SEED_FOUNDING 2

static bool
founding_is_empty (const br_replica_t *replica)
{
  return br_replica_log_last_index (&replica->log) == 0
         && (replica->options.founding || replica->hard_state.term == 0);
}

static bool
founding_is_first_voter (const br_replica_t *replica)
{
  return replica->options.voter && !replica->options.joins;
}

/* Adds the first voters to CONFIG, the peers with unknown disks (0). */
static void
founding_first_voters (const br_replica_t *replica, br_config_t *config)
{
  const br_replica_options_t *options = &replica->options;

  if (founding_is_first_voter (replica))
    br_config_put (config,
                   (br_config_member_t){ options->vm, options->disk, true });
  for (size_t i = 0; i < options->peers.len; i++)
    if (options->peers.items[i].voter)
      br_config_put (
          config, (br_config_member_t){ options->peers.items[i].vm, 0, true });
}

static uint64_t
founding_digest (const br_replica_t *replica)
{
  br_config_t config = { 0 };
  uint64_t digest
      = replica->options.founding ? DIGEST_SEED_FOUNDING : DIGEST_SEED;

  founding_first_voters (replica, &config);
  for (size_t i = 0; i < config.members.len; i++)
    digest = br_str_hash (br_name_str (&config.members.items[i].vm), digest);
  br_config_release (&config);
  return digest;
}

static bool
founding_is_first_by_name (const br_replica_t *replica,
                           const br_config_t *config)
{
  return config->members.len > 0
         && br_name_equal (&config->members.items[0].vm, &replica->options.vm);
}

/* Asks the other first voters whether their disks are empty. */
static void
founding_ask (br_replica_t *replica)
{
  br_replica_message_t message = { .kind = BR_REPLICA_BOOTSTRAP };
  br_config_t config = { 0 };

  founding_first_voters (replica, &config);
  message.bootstrap.voters_digest = founding_digest (replica);
  if (replica->options.founding || founding_is_first_by_name (replica, &config))
    for (size_t i = 0; i < config.members.len; i++)
      if (!br_name_equal (&config.members.items[i].vm, &replica->options.vm))
        br_replica_send (replica, &config.members.items[i].vm, message,
                         replica->change);
  br_config_release (&config);
}

void
br_replica_on_bootstrap (br_replica_t *replica,
                         const br_replica_message_t *message)
{
  br_replica_message_t answer = { .kind = BR_REPLICA_BOOTSTRAP_ANSWER };

  answer.bootstrap_answer.empty
      = founding_is_empty (replica) && founding_is_first_voter (replica);
  answer.bootstrap_answer.agrees
      = message->bootstrap.voters_digest == founding_digest (replica);
  if (answer.bootstrap_answer.empty && !replica->options.founding)
    {
      replica->bootstrap_vm = message->vm;
      replica->bootstrap_disk = message->disk;
    }
  answer.to_disk = message->disk;
  br_replica_send (replica, &message->vm, answer, replica->change);
}

bool
br_replica_bootstrap_is_stale (const br_replica_t *replica,
                               const br_replica_message_t *message)
{
  return replica->bootstrap_disk != 0
         && br_replica_log_last_index (&replica->log) == 0
         && br_name_equal (&message->vm, &replica->bootstrap_vm)
         && message->disk != replica->bootstrap_disk;
}

/* Appends the first configuration, without an election. */
static void
founding_append (br_replica_t *replica, const br_config_t *config)
{
  br_entry_t entry = { .index = 1, .term = 1, .kind = BR_ENTRY_CONFIG };

  br_config_print (config, &entry.data);
  br_replica_set_hard_state (replica, 1, &replica->options.vm);
  br_replica_append_entry (replica, entry);
  br_replica_campaign (replica, true, false);
}

static bool
founding_is_recent (const br_replica_t *replica, br_ms_t at_ms)
{
  return at_ms > 0
         && replica->now - at_ms
                <= replica->options.heartbeat_ms * ANSWER_HEARTBEATS;
}

/* Returns whether the first voters with KNOWN disks may elect a leader. */
static bool
founding_may_elect (const br_replica_t *replica,
                    const br_config_t *config,
                    size_t known)
{
  br_ms_t wait_ms = replica->options.election_max_ms * WAIT_ELECTIONS;

  if (founding_is_recent (replica, replica->log_named_ms)
      || founding_is_recent (replica, replica->founding_disputed_ms))
    return false;
  return known == br_config_voters (config)
         || (known >= br_config_majority (config)
             && replica->now - replica->started_ms >= wait_ms);
}

/* Makes CONFIG the configuration of the first election. */
static void
founding_elect (br_replica_t *replica, const br_config_t *config, size_t known)
{
  bool known_before = replica->founding.members.len > 0;

  br_config_copy (&replica->founding, config);
  if (known_before)
    return;
  br_replica_become_follower (replica, replica->hard_state.term, NULL);
  if (known == br_config_voters (config)
      && founding_is_first_by_name (replica, config))
    br_replica_campaign (replica, true, false);
}

static void
founding_advance (br_replica_t *replica)
{
  br_config_t config = { 0 };
  size_t known = replica->empty_voters.len + 1;

  founding_first_voters (replica, &config);
  for (size_t i = 0; i < replica->empty_voters.len; i++)
    br_config_put (&config, replica->empty_voters.items[i]);
  if (!replica->options.founding)
    {
      if (known == br_config_voters (&config)
          && founding_is_first_by_name (replica, &config))
        founding_append (replica, &config);
    }
  else if (founding_may_elect (replica, &config, known))
    founding_elect (replica, &config, known);
  br_config_release (&config);
}

static bool
founding_asks (const br_replica_t *replica, const br_name_t *vm)
{
  const br_replica_peers_t *peers = &replica->options.peers;

  for (size_t i = 0; i < peers->len; i++)
    if (peers->items[i].voter && br_name_equal (&peers->items[i].vm, vm))
      return true;
  return false;
}

void
br_replica_on_bootstrap_answer (br_replica_t *replica,
                                const br_replica_message_t *message)
{
  br_config_members_t *empty = &replica->empty_voters;
  br_config_member_t member = { message->vm, message->disk, true };
  size_t i = 0;

  if (!founding_is_empty (replica) || !founding_is_first_voter (replica)
      || !founding_asks (replica, &message->vm)
      || !message->bootstrap_answer.empty)
    return;
  if (!message->bootstrap_answer.agrees)
    {
      replica->founding_disputed_ms = replica->now;
      return;
    }
  while (i < empty->len && !br_name_equal (&empty->items[i].vm, &message->vm))
    i++;
  if (i == empty->len)
    br_config_members_push (empty, member);
  empty->items[i] = member;
  founding_advance (replica);
}

void
br_replica_tick_founding (br_replica_t *replica)
{
  if (!founding_is_empty (replica) || !founding_is_first_voter (replica))
    return;
  founding_ask (replica);
  if (replica->options.founding)
    founding_advance (replica);
}

void
br_replica_found (br_replica_t *replica)
{
  br_buf_t data = { 0 };

  br_config_print (&replica->founding, &data);
  br_replica_lead_append (replica, BR_ENTRY_CONFIG, NULL, br_buf_str (&data));
  br_buf_free (&data);
}
