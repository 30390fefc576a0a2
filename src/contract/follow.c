#include "contract/follow.h"

#include <assert.h>
#include <string.h>
#include <uthash.h>

#include "base/label.h"

#define RETRY_AFTER_MS 1000

typedef enum
{
  FOLLOW_LOCATING_FIRST, /* LOCATE was sent to the VM in the contract id */
  FOLLOW_LOCATING_ALL,   /* LOCATE was sent to all other VMs that are up */
  FOLLOW_WAITING,        /* a VM has a copy, but there is no owner yet */
  FOLLOW_READING,
} follow_state_t;

typedef struct
{
  char key[BR_NAME_MAX + 40];
  br_contract_id_t contract;
  follow_state_t state;
  br_answer_t *answer;
  br_names_t pending; /* VMs that have not answered LOCATE */
  br_names_t denied;  /* VMs that answered that they have no copy */
  bool copy_here;
  bool has_copy;     /* a VM answered that it holds a copy */
  br_ms_t since_ms;  /* when STATE began */
  br_ms_t search_ms; /* when the search began */
  br_contract_epoch_t epoch;
  br_name_t owner;
  br_ms_t renewed_ms;
  br_ms_t last_seen_ms;
  UT_hash_handle hh;
} follow_t;

typedef struct
{
  br_name_t vm;
  bool up;
} peer_t;

BR_VEC (peers, peer_t);

struct br_follows
{
  br_follow_options_t options;
  peers_t peers;
  follow_t *all;
  br_follow_outbox_t outbox;
};

br_follow_options_t
br_follow_options (void)
{
  return (br_follow_options_t){
    .locate_ms = 300,
    .locate_again_ms = 200,
    .search_timeout_ms = 6000,
    .renew_ms = 500,
    .owner_timeout_ms = 1500,
  };
}

br_follows_t *
br_follows_new (const br_follow_options_t *options)
{
  br_follows_t *follows = br_alloc_zero (sizeof *follows);

  follows->options = *options;
  return follows;
}

br_follow_outbox_t *
br_follows_outbox (br_follows_t *follows)
{
  return &follows->outbox;
}

static void
follow_free (br_follows_t *follows, follow_t *follow)
{
  HASH_DEL (follows->all, follow);
  br_names_free (&follow->pending);
  br_names_free (&follow->denied);
  free (follow);
}

void
br_follows_free (br_follows_t *follows)
{
  follow_t *follow;
  follow_t *next;

  if (follows == NULL)
    return;
  HASH_ITER (hh, follows->all, follow, next)
  follow_free (follows, follow);
  peers_free (&follows->peers);
  br_follow_outbox_free (&follows->outbox);
  free (follows);
}

static void
follow_key (const br_contract_id_t *contract, char *key)
{
  br_buf_t text = { 0 };

  br_contract_id_print (contract, &text);
  memcpy (key, text.data, text.len + 1);
  br_buf_free (&text);
}

static follow_t *
follows_find (br_follows_t *follows, const br_contract_id_t *contract)
{
  char key[sizeof ((follow_t *)0)->key];
  follow_t *follow;

  follow_key (contract, key);
  HASH_FIND_STR (follows->all, key, follow);
  return follow;
}

static peer_t *
follows_peer (br_follows_t *follows, const br_name_t *vm)
{
  for (size_t i = 0; i < follows->peers.len; i++)
    if (br_name_equal (&follows->peers.items[i].vm, vm))
      return &follows->peers.items[i];
  return NULL;
}

void
br_follows_add_peer (br_follows_t *follows, const br_name_t *vm)
{
  peer_t peer = { .vm = *vm };

  peers_push (&follows->peers, peer);
}

static br_follow_action_t *
follow_act (br_follows_t *follows,
            const follow_t *follow,
            br_follow_action_kind_t kind)
{
  br_follow_action_t action = { .kind = kind, .contract = follow->contract };

  return br_follow_outbox_push (&follows->outbox, action);
}

static br_contract_message_t *
follow_send (br_follows_t *follows,
             const follow_t *follow,
             const br_name_t *to,
             br_contract_message_kind_t kind)
{
  br_follow_action_t *action = follow_act (follows, follow, BR_FOLLOW_SEND);

  action->vm = *to;
  action->message.kind = kind;
  action->message.contract = follow->contract;
  action->message.epoch = follow->epoch;
  return &action->message;
}

static bool
names_have (const br_names_t *names, const br_name_t *name)
{
  for (size_t i = 0; i < names->len; i++)
    if (br_name_equal (&names->items[i], name))
      return true;
  return false;
}

static void
follow_locate (br_follows_t *follows, follow_t *follow, const peer_t *peer)
{
  if (!peer->up || names_have (&follow->denied, &peer->vm))
    return;
  br_names_push (&follow->pending, peer->vm);
  follow_send (follows, follow, &peer->vm, BR_CONTRACT_LOCATE);
}

static void
follow_locate_all (br_follows_t *follows, follow_t *follow, br_ms_t now)
{
  follow->state = FOLLOW_LOCATING_ALL;
  follow->since_ms = now;
  follow->pending.len = 0;
  follow->has_copy = false;
  for (size_t i = 0; i < follows->peers.len; i++)
    {
      const peer_t *peer = &follows->peers.items[i];

      assert (peer != NULL);
      follow_locate (follows, follow, peer);
    }
}

static void
follow_search (br_follows_t *follows, follow_t *follow, br_ms_t now)
{
  const peer_t *first = follows_peer (follows, &follow->contract.vm);

  follow->search_ms = follow->since_ms = now;
  follow->pending.len = 0;
  follow->denied.len = 0;
  if (first == NULL || !first->up)
    {
      follow_locate_all (follows, follow, now);
      return;
    }
  follow->state = FOLLOW_LOCATING_FIRST;
  follow_locate (follows, follow, first);
}

static void
follow_renew (br_follows_t *follows, follow_t *follow, br_ms_t now)
{
  size_t offset = follow->answer->parts.len;
  br_contract_message_t *message
      = follow_send (follows, follow, &follow->owner, BR_CONTRACT_FOLLOW);

  message->follow.offset = offset;
  message->follow.digest = br_answer_digest (follow->answer, offset);
  follow->renewed_ms = now;
}

static void
follow_read (br_follows_t *follows,
             follow_t *follow,
             const br_name_t *owner,
             br_ms_t now)
{
  follow->state = FOLLOW_READING;
  follow->owner = *owner;
  follow->last_seen_ms = now;
  follow_renew (follows, follow, now);
}

static void
follow_fail (br_follows_t *follows, follow_t *follow, const br_error_t *err)
{
  follow_act (follows, follow, BR_FOLLOW_FAILED)->error = *err;
  follow_free (follows, follow);
}

static void
follow_fail_not_found (br_follows_t *follows, follow_t *follow)
{
  br_error_t err;

  br_error_set (&err, BR_ERROR_NOT_FOUND, "find contract", "",
                "no entry VM knows this contract");
  err.may_have_run = true;
  follow_fail (follows, follow, &err);
}

/* Fails, with the names of the VMs that have not denied having a copy. */
static void
follow_fail_unreachable (br_follows_t *follows, follow_t *follow)
{
  br_buf_t missing = { 0 };
  br_error_t err;

  for (size_t i = 0; i < follows->peers.len; i++)
    if (!names_have (&follow->denied, &follows->peers.items[i].vm))
      br_buf_printf (&missing, " %s", follows->peers.items[i].vm.data);
  br_error_set (&err, BR_ERROR_UNAVAILABLE, "find contract",
                follow->contract.vm.data,
                "no owner was found; without an answer:%s",
                missing.data != NULL ? missing.data : " none");
  err.retry_after_ms = RETRY_AFTER_MS;
  err.may_have_run = true;
  br_buf_free (&missing);
  follow_fail (follows, follow, &err);
}

/* Continues the search after all VMs have answered LOCATE or timed out. */
static void
follow_continue_search (br_follows_t *follows, follow_t *follow, br_ms_t now)
{
  if (follow->state == FOLLOW_LOCATING_FIRST)
    follow_locate_all (follows, follow, now);
  else if ((follow->has_copy || follow->copy_here)
           && now - follow->search_ms < follows->options.search_timeout_ms)
    {
      follow->state = FOLLOW_WAITING;
      follow->since_ms = now;
    }
  else if (follow->denied.len == follows->peers.len)
    follow_fail_not_found (follows, follow);
  else
    follow_fail_unreachable (follows, follow);
}

static bool
follow_is_locating (const follow_t *follow)
{
  return follow->state == FOLLOW_LOCATING_FIRST
         || follow->state == FOLLOW_LOCATING_ALL;
}

static void
follow_on_located (br_follows_t *follows,
                   follow_t *follow,
                   const br_name_t *from,
                   const br_contract_message_t *message,
                   br_ms_t now)
{
  br_follow_action_t *found;

  if (follow->state == FOLLOW_READING)
    {
      /* The VM that was followed is no longer the owner. */
      if (br_name_equal (from, &follow->owner)
          && message->located.role != BR_CONTRACT_ROLE_OWNER)
        follow_search (follows, follow, now);
      return;
    }
  switch (message->located.role)
    {
    case BR_CONTRACT_ROLE_OWNER:
      if (br_contract_epoch_compare (&message->epoch, &follow->epoch) < 0)
        return;
      found = follow_act (follows, follow, BR_FOLLOW_FOUND);
      found->vm = *from;
      found->message = *message;
      found->message.unpacked = NULL;
      follow->epoch = message->epoch;
      follow_read (follows, follow, from, now);
      return;
    case BR_CONTRACT_ROLE_BACKUP:
      follow->has_copy = true;
      break;
    case BR_CONTRACT_ROLE_NONE:
      if (!names_have (&follow->denied, from))
        br_names_push (&follow->denied, *from);
      break;
    }
  for (size_t i = 0; i < follow->pending.len; i++)
    if (br_name_equal (&follow->pending.items[i], from))
      follow->pending.items[i] = follow->pending.items[--follow->pending.len];
  if (follow_is_locating (follow) && follow->pending.len == 0)
    follow_continue_search (follows, follow, now);
}

static void
follow_on_feed (br_follows_t *follows,
                follow_t *follow,
                const br_name_t *from,
                const br_contract_message_t *message,
                br_ms_t now)
{
  const br_contract_slice_t *slice = &message->feed.slice;
  size_t before = follow->answer->parts.len;
  br_follow_action_t *ended;

  if (follow->state != FOLLOW_READING || !br_name_equal (from, &follow->owner)
      || br_contract_epoch_compare (&message->epoch, &follow->epoch) < 0)
    return;
  follow->epoch = message->epoch;
  follow->last_seen_ms = now;
  if (message->feed.failure.code != BR_ERROR_OK)
    {
      follow_fail (follows, follow, &message->feed.failure);
      return;
    }
  if (!br_contract_slice_add (slice, follow->answer))
    return;
  if (message->feed.complete
      && follow->answer->parts.len == slice->offset + slice->n_parts)
    {
      follow->answer->complete = true;
      ended = follow_act (follows, follow, BR_FOLLOW_ENDED);
      ended->status = message->feed.status;
      follow_free (follows, follow);
    }
  else if (follow->answer->parts.len > before)
    follow_act (follows, follow, BR_FOLLOW_PARTS);
}

void
br_follows_on_message (br_follows_t *follows,
                       const br_name_t *from,
                       const br_contract_message_t *message,
                       br_ms_t now)
{
  follow_t *follow = follows_find (follows, &message->contract);

  if (follow == NULL)
    return;
  if (message->kind == BR_CONTRACT_LOCATED)
    follow_on_located (follows, follow, from, message, now);
  else if (message->kind == BR_CONTRACT_FEED)
    follow_on_feed (follows, follow, from, message, now);
}

void
br_follows_on_link (br_follows_t *follows,
                    const br_name_t *vm,
                    bool up,
                    br_ms_t now)
{
  peer_t *peer = follows_peer (follows, vm);
  follow_t *follow;
  follow_t *next;

  if (peer == NULL || peer->up == up)
    return;
  peer->up = up;
  HASH_ITER (hh, follows->all, follow, next)
  {
    if (follow->state == FOLLOW_READING && !up
        && br_name_equal (&follow->owner, vm))
      follow_search (follows, follow, now);
  }
}

void
br_follows_start (br_follows_t *follows,
                  const br_contract_id_t *contract,
                  const br_name_t *owner,
                  bool copy_here,
                  br_answer_t *answer,
                  br_ms_t now)
{
  follow_t *follow = follows_find (follows, contract);

  if (follow == NULL)
    {
      follow = br_alloc_zero (sizeof *follow);
      follow->contract = *contract;
      follow_key (contract, follow->key);
      HASH_ADD_STR (follows->all, key, follow);
    }
  follow->answer = answer;
  follow->copy_here = copy_here;
  follow->search_ms = now;
  if (owner != NULL)
    follow_read (follows, follow, owner, now);
  else
    follow_search (follows, follow, now);
}

void
br_follows_stop (br_follows_t *follows, const br_contract_id_t *contract)
{
  follow_t *follow = follows_find (follows, contract);

  if (follow != NULL)
    follow_free (follows, follow);
}

static void
follow_on_tick (br_follows_t *follows, follow_t *follow, br_ms_t now)
{
  const br_follow_options_t *options = &follows->options;

  switch (follow->state)
    {
    case FOLLOW_LOCATING_FIRST:
    case FOLLOW_LOCATING_ALL:
      if (follow->pending.len == 0
          || now - follow->since_ms >= options->locate_ms)
        follow_continue_search (follows, follow, now);
      break;
    case FOLLOW_WAITING:
      if (now - follow->since_ms < options->locate_again_ms)
        break;
      follow->denied.len = 0;
      follow_locate_all (follows, follow, now);
      break;
    case FOLLOW_READING:
      if (now - follow->last_seen_ms >= options->owner_timeout_ms)
        follow_search (follows, follow, now);
      else if (now - follow->renewed_ms >= options->renew_ms)
        follow_renew (follows, follow, now);
      break;
    }
}

void
br_follows_on_tick (br_follows_t *follows, br_ms_t now)
{
  follow_t *follow;
  follow_t *next;

  HASH_ITER (hh, follows->all, follow, next)
  follow_on_tick (follows, follow, now);
}
