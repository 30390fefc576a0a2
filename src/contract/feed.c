#include "contract/feed.h"

typedef struct
{
  br_name_t vm;
  br_contract_id_t contract;
  size_t sent;         /* parts */
  uint64_t digest;     /* of the first PREFIX_PARTS parts */
  size_t prefix_parts; /* parts that the follower had already */
  bool is_checked;     /* those parts agree with the answer */
  br_ms_t renewed_ms;  /* when its last FOLLOW arrived */
} follower_t;

BR_VEC (followers, follower_t);

struct br_feeds
{
  br_ms_t expire_ms;
  followers_t followers;
  br_feed_outbox_t outbox;
};

br_feeds_t *
br_feeds_new (br_ms_t expire_ms)
{
  br_feeds_t *feeds = br_alloc_zero (sizeof *feeds);

  feeds->expire_ms = expire_ms;
  return feeds;
}

void
br_feeds_free (br_feeds_t *feeds)
{
  if (feeds == NULL)
    return;
  followers_free (&feeds->followers);
  br_feed_outbox_free (&feeds->outbox);
  free (feeds);
}

br_feed_outbox_t *
br_feeds_outbox (br_feeds_t *feeds)
{
  return &feeds->outbox;
}

bool
br_feeds_has_followers (const br_feeds_t *feeds)
{
  return feeds->followers.len > 0;
}

static follower_t *
feeds_follower (br_feeds_t *feeds,
                const br_name_t *vm,
                const br_contract_id_t *contract)
{
  follower_t follower = { .vm = *vm, .contract = *contract };

  for (size_t i = 0; i < feeds->followers.len; i++)
    if (br_name_equal (&feeds->followers.items[i].vm, vm)
        && br_contract_id_equal (&feeds->followers.items[i].contract, contract))
      return &feeds->followers.items[i];
  return followers_push (&feeds->followers, follower);
}

static br_contract_message_t *
feeds_send (br_feeds_t *feeds,
            const follower_t *follower,
            const br_feed_source_t *source)
{
  br_feed_send_t send = { .vm = follower->vm };

  send.message.kind = BR_CONTRACT_FEED;
  send.message.contract = source->contract;
  send.message.epoch = source->epoch;
  send.message.feed.slice.offset = follower->sent;
  return &br_feed_outbox_push (&feeds->outbox, send)->message;
}

/* Returns whether the parts that the follower has are a prefix of ANSWER, or
 * may still become one. */
static bool
follower_agrees (follower_t *follower, const br_answer_t *answer)
{
  if (follower->is_checked)
    return true;
  if (follower->prefix_parts > answer->parts.len)
    return !answer->complete;
  follower->is_checked
      = br_answer_digest (answer, follower->prefix_parts) == follower->digest;
  return follower->is_checked;
}

static void
feeds_send_conflict (br_feeds_t *feeds,
                     const follower_t *follower,
                     const br_feed_source_t *source)
{
  br_error_set (&feeds_send (feeds, follower, source)->feed.failure,
                BR_ERROR_CONFLICT, "follow answer", follower->vm.data,
                "the answer was generated again and differs in the first "
                "%zu parts; read it from the start",
                follower->prefix_parts);
}

static void
feeds_push (br_feeds_t *feeds,
            follower_t *follower,
            const br_feed_source_t *source,
            bool always)
{
  const br_answer_t *answer = source->answer;

  if (!follower_agrees (follower, answer))
    {
      feeds_send_conflict (feeds, follower, source);
      return;
    }
  if (source->failure != NULL)
    {
      feeds_send (feeds, follower, source)->feed.failure = *source->failure;
      return;
    }
  while (follower->sent < answer->parts.len || answer->complete || always)
    {
      br_contract_message_t *message = feeds_send (feeds, follower, source);

      always = false;
      message->feed.slice = br_contract_slice (answer, follower->sent);
      follower->sent += message->feed.slice.n_parts;
      message->feed.status = source->status;
      message->feed.complete
          = answer->complete && follower->sent >= answer->parts.len;
      if (message->feed.complete)
        return;
    }
}

void
br_feeds_on_follow (br_feeds_t *feeds,
                    const br_name_t *from,
                    const br_contract_message_t *message,
                    const br_feed_source_t *source,
                    br_ms_t now)
{
  follower_t *follower = feeds_follower (feeds, from, &source->contract);

  follower->sent = follower->prefix_parts = message->follow.offset;
  follower->digest = message->follow.digest;
  follower->is_checked = false;
  follower->renewed_ms = now;
  feeds_push (feeds, follower, source, true);
}

void
br_feeds_on_answer (br_feeds_t *feeds, const br_feed_source_t *source)
{
  for (size_t i = 0; i < feeds->followers.len; i++)
    if (br_contract_id_equal (&feeds->followers.items[i].contract,
                              &source->contract))
      feeds_push (feeds, &feeds->followers.items[i], source, false);
}

void
br_feeds_on_tick (br_feeds_t *feeds, br_ms_t now)
{
  for (size_t i = feeds->followers.len; i > 0; i--)
    if (now - feeds->followers.items[i - 1].renewed_ms >= feeds->expire_ms)
      feeds->followers.items[i - 1]
          = feeds->followers.items[--feeds->followers.len];
}
