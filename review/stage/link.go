package main

type link struct{}

func (l *link) close() {}
