package server

import (
	"os"
)

// metaPages is the number of meta pages at the head of a bbolt file.
const metaPages = 2

// metaPagesSize is the length of the meta pages in bytes.
func metaPagesSize() int { return metaPages * os.Getpagesize() }

// rewriteMetaPages writes the two meta pages of a bbolt file again as they are, and syncs them.
//
// After a failed sync Linux may drop the pages that were to be written and mark them as clean, so
// that a later sync succeeds without having written them (fsync(2), "EIO"). bbolt writes data pages
// that no meta page refers to yet, syncs, writes one meta page, and syncs again. If the first sync
// failed, the data pages are free again and will be written anew. If the second one failed, the
// meta page is in the page cache only; bbolt goes on from it and may overwrite pages that the older
// meta page on disk refers to. So the newer one has to be on disk before the next commit begins.
func rewriteMetaPages(path string) error {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // Sync has reported what a close could
	pages := make([]byte, metaPagesSize())
	if _, err := file.ReadAt(pages, 0); err != nil {
		return err
	}
	if _, err := file.WriteAt(pages, 0); err != nil {
		return err
	}
	return file.Sync()
}
