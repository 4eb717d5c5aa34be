/* text_hint.c - suggestions for a misspelled word.

   Needs: text_hint.h.  */

#include "text_hint.h"
#include <string.h>

/* A word is suggested if at most about 1 / NEAR_SHARE of it differs.  */
#define NEAR_SHARE 3
#define ELLIPSIS ", ..."

static uint32_t
least (uint32_t a, uint32_t b)
{
  return a < b ? a : b;
}

/* Fills row ROWS[2] of the optimal string alignment table from the two
   preceding rows, ROWS[1] and ROWS[0].  */
static void
fill_row (uint32_t rows[3][MQ_NAME_MAX], const char *from, size_t i,
          const char *to, size_t to_len)
{
  rows[2][0] = (uint32_t)i;
  for (size_t j = 1; j <= to_len; j++)
    {
      uint32_t replace = rows[1][j - 1] + (from[i - 1] != to[j - 1]);
      uint32_t cost = least (rows[1][j], rows[2][j - 1]) + 1;

      cost = least (cost, replace);
      if (i > 1 && j > 1 && from[i - 1] == to[j - 2]
          && from[i - 2] == to[j - 1])
        cost = least (cost, rows[0][j - 2] + 1);
      rows[2][j] = cost;
    }
}

uint32_t
mq_edit_distance (const char *from, const char *to)
{
  uint32_t rows[3][MQ_NAME_MAX] = { 0 };
  size_t from_len = strlen (from);
  size_t to_len = strlen (to);

  if (from_len >= MQ_NAME_MAX || to_len >= MQ_NAME_MAX)
    return UINT32_MAX;
  for (size_t j = 0; j <= to_len; j++)
    rows[2][j] = (uint32_t)j;
  for (size_t i = 1; i <= from_len; i++)
    {
      memcpy (rows[0], rows[1], sizeof rows[0]);
      memcpy (rows[1], rows[2], sizeof rows[1]);
      fill_row (rows, from, i, to, to_len);
    }
  return rows[2][to_len];
}

void
mq_hint_init (struct mq_hint *hint, const char *word)
{
  memset (hint, 0, sizeof *hint);
  hint->word = word;
  hint->best_distance = UINT32_MAX;
}

static bool
append (char to[MQ_SUBJECT_MAX], const char *text)
{
  size_t used = strlen (to);
  size_t len = strlen (text);

  if (used + len >= MQ_SUBJECT_MAX)
    return false;
  memcpy (to + used, text, len + 1);
  return true;
}

static void
list_word (struct mq_hint *hint, const char *word)
{
  size_t used = strlen (hint->list);
  size_t room = MQ_SUBJECT_MAX - 1 - strlen (ELLIPSIS);

  if (hint->cut || used + 2 + strlen (word) > room)
    {
      hint->cut = true;
      return;
    }
  if (used > 0)
    append (hint->list, ", ");
  append (hint->list, word);
}

static size_t
length_gap (const char *a, const char *b)
{
  size_t a_len = strlen (a);
  size_t b_len = strlen (b);

  return a_len > b_len ? a_len - b_len : b_len - a_len;
}

void
mq_hint_add (struct mq_hint *hint, const char *allowed)
{
  size_t most = (strlen (hint->word) + 1) / NEAR_SHARE;
  uint32_t distance;

  list_word (hint, allowed);
  if (length_gap (hint->word, allowed) > most)
    return;
  distance = mq_edit_distance (hint->word, allowed);
  if (distance <= most && distance < hint->best_distance)
    {
      hint->best = allowed;
      hint->best_distance = distance;
    }
}

/* Appends as many complete words of the list as fit in TO.  */
static void
append_list (const struct mq_hint *hint, char to[MQ_SUBJECT_MAX])
{
  char list[MQ_SUBJECT_MAX];
  size_t room = MQ_SUBJECT_MAX - 1 - strlen (to) - strlen (ELLIPSIS);
  bool cut = hint->cut;

  memcpy (list, hint->list, sizeof list);
  while (strlen (list) > room)
    {
      char *comma = strrchr (list, ',');

      cut = true;
      if (comma == NULL)
        return;
      *comma = '\0';
    }
  append (to, list);
  if (cut)
    append (to, ELLIPSIS);
}

void
mq_hint_format (const struct mq_hint *hint, char allowed[MQ_SUBJECT_MAX])
{
  allowed[0] = '\0';
  if (hint->best != NULL)
    {
      append (allowed, "did you mean ");
      append (allowed, hint->best);
      append (allowed, "? ");
    }
  append_list (hint, allowed);
}
