#include "site/site_sums.h"

void
br_load_sums_add (br_load_sums_t *sums, const br_load_sum_t *load)
{
  br_load_sum_t *sum;
  size_t at;

  if (!br_name_index_find (&sums->index, br_name_str (&load->upstream), &at))
    {
      br_name_index_set (&sums->index, &load->upstream, sums->list.len);
      br_load_sum_list_push (&sums->list, *load);
      return;
    }
  sum = &sums->list.items[at];
  sum->in_flight += load->in_flight;
  sum->prefill_tokens += load->prefill_tokens;
  sum->unreachable += load->unreachable;
  if (load->pace > 0)
    {
      sum->pace = load->pace;
      sum->pace_age_ms = load->pace_age_ms;
    }
  if (load->speed > 0)
    sum->speed = load->speed;
}

void
br_load_sums_release (br_load_sums_t *sums)
{
  br_name_index_clear (&sums->index);
  br_load_sum_list_free (&sums->list);
}

void
br_demand_sums_add (br_demand_sums_t *sums, const br_demand_sum_t *demand)
{
  size_t at;

  if (br_name_index_find (&sums->index, br_name_str (&demand->organisation),
                          &at))
    {
      sums->list.items[at].units_per_s += demand->units_per_s;
      return;
    }
  br_name_index_set (&sums->index, &demand->organisation, sums->list.len);
  br_demand_sum_list_push (&sums->list, *demand);
}

double
br_demand_sums_find (const br_demand_sums_t *sums, br_str_t organisation)
{
  size_t at;

  return br_name_index_find (&sums->index, organisation, &at)
             ? sums->list.items[at].units_per_s
             : 0;
}

void
br_demand_sums_release (br_demand_sums_t *sums)
{
  br_name_index_clear (&sums->index);
  br_demand_sum_list_free (&sums->list);
}
