#include "shell/work_table.h"

#include <assert.h>
#include <string.h>
#include <uthash.h>

typedef struct entry
{
  br_work_t work; /* first, so that a work pointer is an entry pointer */
  UT_hash_handle hh;
  UT_hash_handle hh_contract;
} entry_t;

struct br_work_table
{
  entry_t *by_number;
  entry_t *by_contract;
};

br_work_table_t *
br_work_table_new (void)
{
  return br_alloc_zero (sizeof (br_work_table_t));
}

void
br_work_table_remove (br_work_table_t *table, br_work_t *work)
{
  entry_t *entry = (entry_t *)work;

  assert (table->by_number != NULL && table->by_contract != NULL);
  HASH_DEL (table->by_number, entry);
  HASH_DELETE (hh_contract, table->by_contract, entry);
  br_buf_free (&work->path);
  br_buf_free (&work->body);
  br_buf_free (&work->content_type);
  br_buf_free (&work->idempotency_key);
  br_answer_free (&work->answer);
  br_names_free (&work->tried);
  free (entry);
}

void
br_work_table_free (br_work_table_t *table)
{
  entry_t *entry;
  entry_t *next;

  HASH_ITER (hh, table->by_number, entry, next)
  br_work_table_remove (table, &entry->work);
  free (table);
}

br_work_t *
br_work_table_add (br_work_table_t *table,
                   uint64_t number,
                   const br_contract_id_t *contract)
{
  entry_t *entry = br_alloc_zero (sizeof *entry);
  br_work_t *work = &entry->work;
  br_buf_t text = { 0 };

  work->number = number;
  work->contract = *contract;
  br_contract_id_print (contract, &text);
  memcpy (work->contract_text, text.data, text.len + 1);
  HASH_ADD (hh, table->by_number, work.number, sizeof work->number, entry);
  HASH_ADD_KEYPTR (hh_contract, table->by_contract, work->contract_text,
                   text.len, entry);
  br_buf_free (&text);
  return work;
}

br_work_t *
br_work_table_find (br_work_table_t *table, uint64_t number)
{
  entry_t *entry;

  HASH_FIND (hh, table->by_number, &number, sizeof number, entry);
  return entry != NULL ? &entry->work : NULL;
}

br_work_t *
br_work_table_find_contract (br_work_table_t *table,
                             const br_contract_id_t *contract)
{
  br_buf_t text = { 0 };
  entry_t *entry;

  br_contract_id_print (contract, &text);
  HASH_FIND (hh_contract, table->by_contract, text.data, text.len, entry);
  br_buf_free (&text);
  return entry != NULL ? &entry->work : NULL;
}

void
br_work_table_each (br_work_table_t *table,
                    void (*visit) (br_work_t *work, void *context),
                    void *context)
{
  entry_t *entry;
  entry_t *next;

  HASH_ITER (hh, table->by_number, entry, next)
  visit (&entry->work, context);
}
