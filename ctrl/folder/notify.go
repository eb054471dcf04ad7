package folder

import (
	"github.com/fsnotify/fsnotify"
)

// Notify watches a folder through the file system's events; it fits
// Folder.Notify. Events that come while nobody receives are merged into one.
func Notify(dir string) (<-chan struct{}, func(), error) {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, nil, &Error{Op: "watch " + dir, Kind: KindWatch, Err: err}
	}
	if err := watcher.Add(dir); err != nil {
		_ = watcher.Close()
		return nil, nil, &Error{Op: "watch " + dir, Kind: KindWatch, Err: err}
	}
	events := make(chan struct{}, 1)
	go forward(watcher, events)
	return events, func() { _ = watcher.Close() }, nil
}

func forward(watcher *fsnotify.Watcher, events chan<- struct{}) {
	for {
		select {
		case _, ok := <-watcher.Events:
			if !ok {
				return
			}
		case _, ok := <-watcher.Errors:
			// An overflow means that events were lost: look anyway.
			if !ok {
				return
			}
		}
		select {
		case events <- struct{}{}:
		default:
		}
	}
}
