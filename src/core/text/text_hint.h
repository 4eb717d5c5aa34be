/* text_hint.h - what is allowed in place of a word, nearest first.

   Pure, no allocation.
   Needs: error.h.  */

#ifndef MQ_TEXT_HINT_H
#define MQ_TEXT_HINT_H

#include "../error.h"

/**
 * struct mq_hint - the words that would be allowed in place of another
 * @word: the word that is not allowed
 * @best: nearest allowed word, borrowed, NULL when none is near
 * @best_distance: its edit distance
 * @list: allowed words as far as they fit
 * @cut: some did not fit
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
/* "did you mean BEST? LIST", or only the list.  */
void mq_hint_format (const struct mq_hint *hint, char allowed[MQ_SUBJECT_MAX]);
/* Insertions, deletions, replacements and swaps of neighbours that turn one
   word into the other; UINT32_MAX for words of over 63 bytes.  */
uint32_t mq_edit_distance (const char *from, const char *to);

#endif
