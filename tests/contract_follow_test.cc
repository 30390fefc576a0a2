#include <gtest/gtest.h>

#include <string>

#include "base/random.h"
#include "contract/feed.h"
#include "contract/follow.h"

namespace
{

class Follow : public testing::Test
{
protected:
  void
  SetUp () override
  {
    br_follow_options_t options = br_follow_options ();

    options.vm = br_name_from ("x");
    follows_ = br_follows_new (&options);
    for (const char *vm : { "a", "b", "c" })
      {
        br_name_t name = br_name_from (vm);

        br_follows_add_peer (follows_, &name);
        br_follows_on_link (follows_, &name, true, 0);
      }
    contract_.vm = br_name_from ("a");
    contract_.incarnation = 1;
    contract_.number = 7;
  }
  void
  TearDown () override
  {
    br_follows_free (follows_);
    br_answer_free (&answer_);
  }

  /* Returns the actions since the last call as text. */
  std::string
  take ()
  {
    br_follow_outbox_t *outbox = br_follows_outbox (follows_);
    std::string text;

    for (size_t i = 0; i < outbox->len; i++)
      {
        const br_follow_action_t *action = &outbox->items[i];

        switch (action->kind)
          {
          case BR_FOLLOW_SEND:
            text += std::string (action->vm.data) + "<-"
                    + br_contract_message_name (action->message.kind) + " ";
            break;
          case BR_FOLLOW_FOUND:
            text += "found at " + std::string (action->vm.data) + " ";
            break;
          case BR_FOLLOW_PARTS:
            text += "grew ";
            break;
          case BR_FOLLOW_ENDED:
            text += "ended ";
            break;
          case BR_FOLLOW_FAILED:
            text += std::string (br_error_name (action->error.code)) + ": "
                    + action->error.text + " ";
            break;
          }
      }
    br_follow_outbox_clear (outbox);
    return text;
  }

  void
  start ()
  {
    br_follows_start (follows_, &contract_, nullptr, false, &answer_, 0);
  }

  void
  located (const char *vm, br_contract_role_t role, uint64_t epoch, br_ms_t now)
  {
    br_contract_message_t message = {};
    br_name_t from = br_name_from (vm);

    message.kind = BR_CONTRACT_LOCATED;
    message.contract = contract_;
    message.epoch.number = epoch;
    message.epoch.owner = from;
    message.located.role = role;
    br_follows_on_message (follows_, &from, &message, now);
  }

  void
  feed (const char *vm,
        uint64_t epoch,
        size_t offset,
        const br_answer_t *source,
        br_ms_t now)
  {
    br_contract_message_t message = {};
    br_name_t from = br_name_from (vm);

    message.kind = BR_CONTRACT_FEED;
    message.contract = contract_;
    message.epoch.number = epoch;
    message.epoch.owner = from;
    message.feed.slice = br_contract_slice (source, offset);
    message.feed.complete = source->complete;
    br_follows_on_message (follows_, &from, &message, now);
  }

  br_follows_t *follows_;
  br_contract_id_t contract_ = {};
  br_answer_t answer_ = {};
};

void
fill (br_answer_t *answer, const std::string &letters)
{
  for (size_t i = 0; i < letters.size (); i++)
    br_answer_add (answer, i, BR_ANSWER_TEXT, br_str_make (&letters[i], 1));
}

} // namespace

TEST_F (Follow, NotFoundOnlyWhenNoVmHasACopy)
{
  start ();
  EXPECT_EQ (take (), "a<-locate ");
  located ("a", BR_CONTRACT_ROLE_NONE, 0, 1);
  EXPECT_EQ (take (), "b<-locate c<-locate ");
  located ("b", BR_CONTRACT_ROLE_NONE, 0, 2);
  EXPECT_EQ (take (), "");
  located ("c", BR_CONTRACT_ROLE_NONE, 0, 3);
  EXPECT_EQ (take (), "not_found: no entry VM knows this contract ");
}

TEST_F (Follow, ErrorListsTheVmsThatDidNotAnswer)
{
  br_name_t a = br_name_from ("a");

  br_follows_on_link (follows_, &a, false, 0);
  start ();
  EXPECT_EQ (take (), "b<-locate c<-locate ");
  located ("b", BR_CONTRACT_ROLE_NONE, 0, 1);
  br_follows_on_tick (follows_, 400);
  EXPECT_EQ (take (),
             "unavailable: no owner was found; without an answer: a c ");
}

TEST_F (Follow, WaitsForATakeOverAndReadsFromTheNewOwner)
{
  br_name_t a = br_name_from ("a");
  br_answer_t complete_answer = {};

  fill (&complete_answer, "abcd");
  br_follows_on_link (follows_, &a, false, 0);
  start ();
  take ();
  located ("b", BR_CONTRACT_ROLE_NONE, 0, 1);
  located ("c", BR_CONTRACT_ROLE_BACKUP, 1, 1);
  br_follows_on_tick (follows_, 100);
  EXPECT_EQ (take (), "");
  br_follows_on_tick (follows_, 300);
  EXPECT_EQ (take (), "b<-locate c<-locate ");
  located ("c", BR_CONTRACT_ROLE_OWNER, 2, 310);
  EXPECT_EQ (take (), "found at c c<-follow ");
  feed ("c", 2, 0, &complete_answer, 320);
  EXPECT_EQ (take (), "grew ");
  /* Late parts of the old owner are ignored. */
  feed ("a", 1, 0, &complete_answer, 330);
  EXPECT_EQ (take (), "");
  complete_answer.complete = true;
  feed ("c", 2, 0, &complete_answer, 340);
  EXPECT_EQ (take (), "ended ");
  EXPECT_EQ (std::string (answer_.bytes.data), "abcd");
  br_answer_free (&complete_answer);
}

TEST_F (Follow, SearchesAgainWhenTheOwnerTimesOut)
{
  start ();
  located ("a", BR_CONTRACT_ROLE_OWNER, 1, 1);
  take ();
  br_follows_on_tick (follows_, 600);
  EXPECT_EQ (take (), "a<-follow ");
  br_follows_on_tick (follows_, 1600);
  EXPECT_EQ (take (), "a<-locate ");
}

/* A follower whose parts differ from the owner's gets an error, not the rest.
 */
TEST (Feed, RejectsADifferentPrefix)
{
  br_feeds_t *feeds = br_feeds_new (3000);
  br_feed_outbox_t *outbox = br_feeds_outbox (feeds);
  br_name_t from = br_name_from ("x");
  br_answer_t mine = {};
  br_answer_t theirs = {};
  br_feed_source_t source = {};
  br_contract_message_t message = {};

  fill (&mine, "abcd");
  fill (&theirs, "abX");
  source.answer = &mine;
  message.kind = BR_CONTRACT_FOLLOW;
  message.follow.offset = 2;
  message.follow.digest = br_answer_digest (&theirs, 2);
  br_feeds_on_follow (feeds, &from, &message, &source, 0);
  ASSERT_EQ (outbox->len, 1U);
  EXPECT_EQ (outbox->items[0].message.feed.failure.code, BR_ERROR_OK);
  EXPECT_EQ (outbox->items[0].message.feed.slice.n_parts, 2U);
  br_feed_outbox_clear (outbox);
  message.follow.offset = 3;
  message.follow.digest = br_answer_digest (&theirs, 3);
  br_feeds_on_follow (feeds, &from, &message, &source, 0);
  ASSERT_EQ (outbox->len, 1U);
  EXPECT_EQ (outbox->items[0].message.feed.failure.code, BR_ERROR_CONFLICT);
  br_feeds_free (feeds);
  br_answer_free (&mine);
  br_answer_free (&theirs);
}

/* Corrupted messages are rejected or decoded, without a crash. */
TEST (ContractMessage, CorruptedBytesAreRejectedOrDecoded)
{
  br_answer_t answer = {};
  br_contract_message_t message = {};
  br_buf_t packed = {};
  br_random_t random;

  fill (&answer, "abcdefgh");
  message.kind = BR_CONTRACT_CHECKPOINT;
  message.contract.vm = br_name_from ("a");
  message.epoch.owner = br_name_from ("a");
  message.checkpoint.slice = br_contract_slice (&answer, 2);
  br_contract_message_pack (&message, &packed);
  br_random_seed (&random, 1);
  for (int i = 0; i < 20000; i++)
    {
      std::string bytes (packed.data, packed.len);
      br_contract_message_t got;
      br_answer_t copy = {};
      br_error_t err;

      for (int j = 0; j <= i % 3; j++)
        bytes[br_random_below (&random, bytes.size ())]
            = (char)br_random_below (&random, 256);
      bytes.resize (bytes.size () - br_random_below (&random, 3));
      if (br_contract_message_unpack (
              br_str_make (bytes.data (), bytes.size ()), "a", &got, &err)
          && got.kind == BR_CONTRACT_CHECKPOINT)
        br_contract_slice_add (&got.checkpoint.slice, &copy);
      br_contract_message_release (&got);
      br_answer_free (&copy);
    }
  br_buf_free (&packed);
  br_answer_free (&answer);
}
