/* text_hint.h - suggestions for a misspelled word.

   Does not allocate.
   Needs: error.h.  */

#ifndef MQ_TEXT_HINT_H
#define MQ_TEXT_HINT_H

#include "../error.h"

/**
 * struct mq_hint - allowed replacements for an invalid word
 * @word: the invalid word, not copied
 * @best: closest allowed word, not copied; NULL if none is close
 * @best_distance: edit distance of @best
 * @list: allowed words that fit
 * @cut: the list was truncated
 */
struct mq_hint
{
  const char *word;
  const char *best;
  uint32_t best_distance;
  char list[MQ_SUBJECT_MAX];
  bool cut;
};

void mq_hint_init (struct mq_hint *hint, const char *word);
void mq_hint_add (struct mq_hint *hint, const char *allowed);
/* Writes "did you mean BEST? LIST", or only LIST.  */
void mq_hint_format (const struct mq_hint *hint, char allowed[MQ_SUBJECT_MAX]);
/* Optimal string alignment distance (Levenshtein with adjacent swaps);
   UINT32_MAX for words longer than 63 bytes.  */
uint32_t mq_edit_distance (const char *from, const char *to);

#endif
