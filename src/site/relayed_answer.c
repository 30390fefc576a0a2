#include "site/relayed_answer.h"

static const char *const use_names[] = {
#define X(id, name) name,
  BR_RELAYED_USE_TABLE (X)
#undef X
};

const char *
br_relayed_use_name (br_relayed_use_t use)
{
  return use_names[use];
}

bool
br_status_means_not_run (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

br_relayed_use_t
br_relayed_answer_use (const br_relayed_answer_t *answer)
{
  if (answer->is_stated && answer->ran == 0 && !answer->has_signature)
    return BR_RELAYED_NOT_RUN;
  if (br_status_means_not_run (answer->status)
      || (answer->status < 300 && !answer->has_signature))
    return BR_RELAYED_UNKNOWN;
  return answer->is_stated || answer->has_signature ? BR_RELAYED_FORWARD
                                                    : BR_RELAYED_UNKNOWN;
}

int
br_relayed_answer_ran (const br_relayed_answer_t *answer)
{
  if (br_relayed_answer_use (answer) == BR_RELAYED_NOT_RUN)
    return 0;
  return BR_MAX (answer->is_stated ? answer->ran : answer->attempts, 1);
}
