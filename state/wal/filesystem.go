package wal

import (
	"io/fs"
	"os"
)

// FileSystem is the part of a file system that a log uses. Tests replace it with one that is full or fails.
type FileSystem interface {
	OpenFile(path string, flag int, mode fs.FileMode) (File, error)
	ReadFile(path string) ([]byte, error)
	ReadDir(path string) ([]fs.DirEntry, error)
	Stat(path string) (fs.FileInfo, error)
	Mkdir(path string, mode fs.FileMode) error
	Rename(from, to string) error
	Remove(path string) error
}

// File is an open file or directory of a FileSystem.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Truncate(size int64) error
	Stat() (fs.FileInfo, error)
	Fd() uintptr
	Close() error
}

// OS is the file system of the operating system.
type OS struct{}

// OpenFile is os.OpenFile.
func (OS) OpenFile(path string, flag int, mode fs.FileMode) (File, error) {
	file, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// ReadFile is os.ReadFile.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// ReadDir is os.ReadDir.
func (OS) ReadDir(path string) ([]fs.DirEntry, error) { return os.ReadDir(path) }

// Stat is os.Stat.
func (OS) Stat(path string) (fs.FileInfo, error) { return os.Stat(path) }

// Mkdir is os.Mkdir.
func (OS) Mkdir(path string, mode fs.FileMode) error { return os.Mkdir(path, mode) }

// Rename is os.Rename.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove is os.Remove.
func (OS) Remove(path string) error { return os.Remove(path) }
